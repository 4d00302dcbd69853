package weldhitch.fleet.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.fleet.activation.ActiveVersions;

/** Tests when an outage of the coordinators is logged, at given times. */
class CoordinatorOutageLogTest {
    private static final long SECOND = 1_000_000_000L;
    private static final ActiveVersions SERVING =
            new ActiveVersions(0, null, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);
    private static final ActiveVersions IN_DOUBT =
            new ActiveVersions(0, 1L, Long.MAX_VALUE, Long.MIN_VALUE, Long.MAX_VALUE);
    private static final ActiveVersions FENCED =
            new ActiveVersions(0, null, Long.MAX_VALUE, Long.MAX_VALUE, Long.MIN_VALUE);

    private final List<String> lines = new ArrayList<>();
    private final CoordinatorOutageLog outageLog = new CoordinatorOutageLog("n1", lines::add, 0);

    @Test
    void outageIsLoggedAfterThreeSecondsAndThenAfterTwiceTheTime() {
        outageLog.onNoLeaderResponse("refused", 3 * SECOND);
        assertEquals(List.of(), lines);
        outageLog.onNoLeaderResponse("refused", 4 * SECOND);
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).startsWith("fleet: steward-unreachable: n1: "), lines.get(0));
        outageLog.onNoLeaderResponse("refused", 8 * SECOND);
        assertEquals(1, lines.size());
        outageLog.onNoLeaderResponse("refused", 9 * SECOND);
        assertEquals(2, lines.size());
    }

    @Test
    void endOfALoggedOutageIsLoggedWithItsDuration() {
        outageLog.onLeaderResponse(SECOND);
        outageLog.onNoLeaderResponse("refused", 2 * SECOND);
        outageLog.onLeaderResponse(3 * SECOND);
        assertEquals(List.of(), lines, "too short to be logged");
        outageLog.onNoLeaderResponse("refused", 7 * SECOND);
        lines.clear();
        outageLog.onLeaderResponse(8 * SECOND);
        assertEquals(List.of("fleet: coordinators reachable again unreachableMillis=5000"), lines);
        lines.clear();
        outageLog.onNoLeaderResponse("refused", 12 * SECOND);
        assertEquals(1, lines.size(), "the delay is reset after an outage");
    }

    @Test
    void rejectionIsLoggedOncePerOutage() {
        outageLog.onVersionsWithoutLeader(SERVING, 0);
        assertEquals(List.of(), lines);
        outageLog.onVersionsWithoutLeader(IN_DOUBT, SECOND);
        outageLog.onVersionsWithoutLeader(IN_DOUBT, 2 * SECOND);
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).startsWith("fleet: in-doubt: n1: "), lines.get(0));
        outageLog.onVersionsWithoutLeader(SERVING, 3 * SECOND);
        outageLog.onVersionsWithoutLeader(FENCED, 4 * SECOND);
        assertEquals(2, lines.size());
        assertTrue(lines.get(1).startsWith("fleet: not-joined: n1: "), lines.get(1));
    }
}

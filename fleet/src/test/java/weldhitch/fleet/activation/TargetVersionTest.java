package weldhitch.fleet.activation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the states of a version between its announcement and the switch to it. */
class TargetVersionTest {
    private final TargetVersion target = new TargetVersion(new RouteVersion(1, "aa"));

    @Test
    void canBeVotedOnOnceItsTableIsBuiltOrCannotBe() {
        assertFalse(target.isReadyToVote());
        target.recordPreparation(List.of("v.toml:3: no"));
        assertTrue(target.isReadyToVote());
        assertFalse(target.isPrepared());
        assertEquals(List.of("v.toml:3: no"), target.rejectionReasons());
        target.recordPreparation(List.of());
        assertTrue(target.isReadyToVote() && target.isPrepared());
    }

    @Test
    void switchNeedsTheTableTheCommitAndTheTime() {
        target.schedule().refine(1000, 1, 0);
        assertFalse(target.isSwitchReached(1000));
        assertTrue(target.recordCommit(new ActivationOutcome(1, true, "c", 1000, List.of())));
        assertFalse(target.isSwitchReached(1000));
        target.recordPreparation(List.of());
        assertFalse(target.isSwitchReached(999));
        assertTrue(target.isSwitchReached(1000));
        assertFalse(target.recordCommit(new ActivationOutcome(1, true, "c", 1000, List.of())), "already known");
    }
}

package weldhitch.control.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldhitch.control.log.StateLog;
import weldhitch.control.order.Acceptor.Kept;
import weldhitch.control.order.Ballot;
import weldhitch.control.order.Epoch;
import weldhitch.control.order.Message;
import weldhitch.control.order.Order;
import weldhitch.control.order.Reply;

/**
 * Reads acceptor states that an earlier version (32a2790) wrote to disk. The files are never recorded again: a
 * change that breaks this test would lose promises and committed states at an upgrade.
 */
class RecordedAcceptorStateTest {
    private static final Path RECORDED = Path.of("control/src/test/resources/weldhitch/recorded");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Order DRAIN =
            new Order("o-1", "amina", "release 7", Order.Action.DRAIN, Set.of("n1", "n2"), 1764600000000L);
    private static final Order RESTART = new Order(
            "o-2", "eric", "kernel", Order.Action.RESTART, Set.of("n2"), 1764600001000L, Map.of("why", "kernel"));

    @TempDir
    Path directory;

    private Path copy(String name) throws IOException {
        return Files.copy(RECORDED.resolve(name), directory.resolve(name));
    }

    @Test
    void aDecidedOrderIsInForceAfterTheUpgrade() throws IOException {
        try (DurableAcceptor acceptor = new DurableAcceptor("a1", copy("acceptor-decided.log"))) {
            assertEquals(Epoch.FIRST.after(DRAIN), acceptor.decided());
            assertEquals(
                    new Reply.Decided("a1", acceptor.decided()),
                    acceptor.on(new Message.Prepare(1, new Ballot(9, "eric"))));
        }
    }

    @Test
    void promisesAndAcceptedValuesHoldAfterTheUpgrade() throws IOException {
        Epoch first = Epoch.FIRST.after(DRAIN);
        Ballot promised = new Ballot(5, "amina");
        Ballot accepted = new Ballot(3, "eric");
        try (DurableAcceptor acceptor = new DurableAcceptor("a1", copy("acceptor-undecided.log"))) {
            assertEquals(first, acceptor.decided());
            assertEquals(
                    new Reply.Outbid("a1", new Ballot(4, "eric"), promised),
                    acceptor.on(new Message.Prepare(2, new Ballot(4, "eric"))));
            Reply reply = acceptor.on(new Message.Prepare(2, new Ballot(6, "eric")));
            assertInstanceOf(Reply.Promise.class, reply);
            assertEquals(new Reply.Promise("a1", new Ballot(6, "eric"), accepted, first.after(RESTART)), reply);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"acceptor-decided.log", "acceptor-undecided.log"})
    void theStateIsWrittenInTheSameForm(String name) throws IOException {
        try (StateLog log = StateLog.open(copy(name), 1 << 20)) {
            byte[] recorded = log.state();
            Kept state = JSON.readValue(recorded, Kept.class);
            assertEquals(JSON.readTree(recorded), JSON.readTree(JSON.writeValueAsBytes(state)));
        }
    }
}

package weldhitch.consensus.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldhitch.consensus.AcceptorState;
import weldhitch.consensus.Ballot;
import weldhitch.consensus.Command;
import weldhitch.consensus.CommittedState;
import weldhitch.consensus.Message;
import weldhitch.consensus.Reply;
import weldhitch.statelog.StateLog;

/**
 * Reads acceptor states that an earlier version (32a2790) wrote to disk. The files must never be recorded again: a
 * change that breaks this test would lose promises and committed states in an upgrade.
 */
class RecordedAcceptorStateTest {
    private static final Path RECORDED = Path.of("consensus/src/test/resources/weldhitch/recorded");
    private static final ObjectMapper JSON = ConsensusJson.register(new ObjectMapper());
    private static final Command DRAIN =
            new Command("o-1", "amina", "release 7", Command.Action.DRAIN, Set.of("n1", "n2"), 1764600000000L);
    private static final Command RESTART = new Command(
            "o-2", "eric", "kernel", Command.Action.RESTART, Set.of("n2"), 1764600001000L, Map.of("why", "kernel"));

    @TempDir
    Path directory;

    private Path copy(String name) throws IOException {
        return Files.copy(RECORDED.resolve(name), directory.resolve(name));
    }

    @Test
    void committedStateSurvivesTheUpgrade() throws IOException {
        try (DurableAcceptor acceptor = new DurableAcceptor("a1", copy("acceptor-decided.log"))) {
            assertEquals(CommittedState.INITIAL.apply(DRAIN), acceptor.committed());
            assertEquals(
                    new Reply.AlreadyCommitted("a1", acceptor.committed()),
                    acceptor.onMessage(new Message.Prepare(1, new Ballot(9, "eric"))));
        }
    }

    @Test
    void promisesAndAcceptedValuesSurviveTheUpgrade() throws IOException {
        CommittedState first = CommittedState.INITIAL.apply(DRAIN);
        Ballot promised = new Ballot(5, "amina");
        Ballot accepted = new Ballot(3, "eric");
        try (DurableAcceptor acceptor = new DurableAcceptor("a1", copy("acceptor-undecided.log"))) {
            assertEquals(first, acceptor.committed());
            assertEquals(
                    new Reply.Preempted("a1", new Ballot(4, "eric"), promised),
                    acceptor.onMessage(new Message.Prepare(2, new Ballot(4, "eric"))));
            Reply reply = acceptor.onMessage(new Message.Prepare(2, new Ballot(6, "eric")));
            assertInstanceOf(Reply.Promise.class, reply);
            assertEquals(new Reply.Promise("a1", new Ballot(6, "eric"), accepted, first.apply(RESTART)), reply);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"acceptor-decided.log", "acceptor-undecided.log"})
    void stateIsWrittenInTheRecordedFormat(String name) throws IOException {
        try (StateLog log = StateLog.open(copy(name), 1 << 20)) {
            byte[] recorded = log.state();
            AcceptorState state = JSON.readValue(recorded, AcceptorState.class);
            assertEquals(
                    withSortedTargets(JSON.readTree(recorded)),
                    withSortedTargets(JSON.readTree(JSON.writeValueAsBytes(state))));
        }
    }

    /** Sorts the targets of all commands, because they are sets, whose order differs between processes. */
    private static JsonNode withSortedTargets(JsonNode node) {
        for (JsonNode child : node) {
            withSortedTargets(child);
        }
        if (node.get("targets") instanceof ArrayNode targets) {
            List<String> names = new ArrayList<>();
            targets.forEach(target -> names.add(target.textValue()));
            targets.removeAll();
            names.stream().sorted().forEach(targets::add);
        }
        return node;
    }
}

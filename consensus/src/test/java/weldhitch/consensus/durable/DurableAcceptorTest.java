package weldhitch.consensus.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.consensus.Ballot;
import weldhitch.consensus.Command;
import weldhitch.consensus.Command.Action;
import weldhitch.consensus.CommittedState;
import weldhitch.consensus.Message;
import weldhitch.consensus.Message.Accept;
import weldhitch.consensus.Message.Learn;
import weldhitch.consensus.Message.Prepare;
import weldhitch.consensus.Proposer;
import weldhitch.consensus.Proposer.Committed;
import weldhitch.consensus.Reply;

/** Tests {@link DurableAcceptor} with restarts, suspect logs and unknown payloads, on real files. */
class DurableAcceptorTest {
    private static final Command DRAIN =
            new Command("1", "ann", "disk change", Action.DRAIN, Set.of("n1"), 1_764_000_000_000L);

    @TempDir
    Path directory;

    private DurableAcceptor open(String name) throws IOException {
        return new DurableAcceptor(name, directory.resolve(name + ".log"));
    }

    @Test
    void promisesAcceptedValuesAndCommittedStateSurviveARestart() throws Exception {
        Ballot highBallot = new Ballot(5, "ann");
        CommittedState committed = CommittedState.INITIAL.apply(DRAIN);
        try (DurableAcceptor acceptor = open("a")) {
            assertInstanceOf(Reply.Promise.class, acceptor.onMessage(new Prepare(1, highBallot)));
        }
        try (DurableAcceptor acceptor = open("a")) {
            assertInstanceOf(Reply.Preempted.class, acceptor.onMessage(new Prepare(1, new Ballot(4, "ben"))));
            assertInstanceOf(Reply.Accepted.class, acceptor.onMessage(new Accept(highBallot, committed)));
        }
        try (DurableAcceptor acceptor = open("a")) {
            Reply.Promise promise =
                    assertInstanceOf(Reply.Promise.class, acceptor.onMessage(new Prepare(1, new Ballot(6, "ben"))));
            assertEquals(committed, promise.accepted());
            acceptor.onMessage(new Learn(committed));
        }
        try (DurableAcceptor acceptor = open("a")) {
            assertEquals(
                    Action.DRAIN,
                    acceptor.committed().activeCommands().get("n1").action());
            assertEquals("ann", acceptor.committed().command().operator());
        }
    }

    @Test
    void commandIsCommittedByThreeAcceptorsThatRestartBetweenMessages() throws Exception {
        List<DurableAcceptor> acceptors = new ArrayList<>(List.of(open("a"), open("b"), open("c")));
        Proposer proposer = new Proposer("ann", List.of("a", "b", "c"), CommittedState.INITIAL, DRAIN, 1);
        for (Message message = proposer.startRound(); message != null; ) {
            Message next = null;
            for (int i = 0; i < 3; i++) {
                // Every acceptor is closed and reopened between any two messages.
                acceptors.get(i).close();
                acceptors.set(i, open(List.of("a", "b", "c").get(i)));
                Message response = proposer.onReply(acceptors.get(i).onMessage(message));
                next = response != null ? response : next;
            }
            message = next;
        }
        assertInstanceOf(Committed.class, proposer.outcome());
        for (DurableAcceptor acceptor : acceptors) {
            assertEquals(1, acceptor.committed().generation());
            acceptor.close();
        }
    }

    @Test
    void acceptorWithASuspectLogAbstainsAndStillLearns() throws Exception {
        Path file = directory.resolve("a.log");
        try (DurableAcceptor acceptor = open("a")) {
            acceptor.onMessage(new Prepare(1, new Ballot(1, "ann")));
            acceptor.onMessage(new Prepare(1, new Ballot(2, "ben")));
        }
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 2] ^= 1;
        Files.write(file, bytes);
        try (DurableAcceptor acceptor = open("a")) {
            assertFalse(acceptor.isVoting());
            assertInstanceOf(Reply.Abstained.class, acceptor.onMessage(new Prepare(1, new Ballot(1, "cid"))));
            acceptor.onMessage(new Learn(CommittedState.INITIAL.apply(DRAIN)));
            assertEquals(1, acceptor.committed().generation());
        }
        try (DurableAcceptor acceptor = open("a")) {
            assertFalse(acceptor.isVoting(), "a restart does not restore a lost promise");
            assertEquals(1, acceptor.committed().generation());
        }
    }

    @Test
    void logWithAnUnknownPayloadIsRejectedAndNamed() throws Exception {
        Path file = directory.resolve("a.log");
        try (weldhitch.statelog.StateLog log = weldhitch.statelog.StateLog.open(file, 1000)) {
            log.write("{\"other\":1}".getBytes());
        }
        IOException e = assertThrows(IOException.class, () -> open("a"));
        assertTrue(e.getMessage().startsWith(file + ": not a state of this version"), e.getMessage());
        // The failed open must have released its lock.
        assertThrows(IOException.class, () -> open("a"));
    }
}

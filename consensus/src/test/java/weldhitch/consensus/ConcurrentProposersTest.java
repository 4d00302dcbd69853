package weldhitch.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import weldhitch.consensus.Command.Action;
import weldhitch.consensus.Proposer.Committed;
import weldhitch.consensus.Proposer.Conflict;
import weldhitch.consensus.Proposer.Pending;

/**
 * Tests operators that issue conflicting commands for the same instances at the same time. The simulated network loses,
 * duplicates, delays and reorders messages, proposers crash, and acceptors crash before and after their state is on
 * disk.
 */
class ConcurrentProposersTest {
    private static final int SCHEDULES = 10_000;
    private static final Set<String> TARGETS = Set.of("n1", "n2", "n3");

    private static Command command(String operator, Action action) {
        return new Command(operator + "-1", operator, "because", action, TARGETS, 0);
    }

    /** A random schedule of messages and crashes. */
    private static final class RandomSchedule {
        final SplittableRandom random;
        final List<String> acceptorNames = new ArrayList<>();
        final Map<String, Acceptor> running = new HashMap<>();
        final Map<String, AcceptorState> persisted = new HashMap<>();
        final Map<String, Proposer> activeProposers = new HashMap<>();
        final List<Proposer> stoppedProposers = new ArrayList<>();
        final List<Runnable> inFlight = new ArrayList<>();
        final Map<Long, CommittedState> committedByGeneration = new HashMap<>();
        final double lossRate;
        final double crashRate;

        RandomSchedule(int seed) {
            random = new SplittableRandom(seed);
            lossRate = random.nextInt(3) * 0.15;
            crashRate = random.nextInt(3) * 0.03;
            for (int i = 0; i < 3 + random.nextInt(5); i++) {
                acceptorNames.add("agent" + i);
                persisted.put("agent" + i, AcceptorState.INITIAL);
                running.put("agent" + i, new Acceptor("agent" + i, AcceptorState.INITIAL));
            }
            for (int i = 0; i < 2 + random.nextInt(2); i++) {
                String name = "op" + i;
                activeProposers.put(
                        name,
                        new Proposer(
                                name,
                                acceptorNames,
                                CommittedState.INITIAL,
                                command(name, i % 2 == 0 ? Action.DRAIN : Action.UNDRAIN),
                                1));
            }
        }

        void broadcast(String proposerName, Message message) {
            for (String acceptorName : message == null ? List.<String>of() : acceptorNames) {
                for (int deliveries = random.nextDouble() < 0.1 ? 2 : 1; deliveries > 0; deliveries--) {
                    inFlight.add(() -> receive(proposerName, acceptorName, message));
                }
            }
        }

        void receive(String proposerName, String acceptorName, Message message) {
            Acceptor acceptor = running.get(acceptorName);
            if (acceptor == null) {
                return;
            }
            Reply reply = acceptor.onMessage(message);
            if (random.nextDouble() < crashRate) {
                // Crashes before the state is on disk, as if the message had never arrived.
                running.remove(acceptorName);
                return;
            }
            persist(acceptorName, acceptor);
            if (random.nextDouble() < crashRate) {
                // Crashes after the state is on disk, without a reply.
                running.remove(acceptorName);
                return;
            }
            inFlight.add(() -> {
                Proposer proposer = activeProposers.get(proposerName);
                if (proposer != null) {
                    broadcast(proposerName, proposer.onReply(reply));
                }
            });
        }

        void persist(String acceptorName, Acceptor acceptor) {
            persisted.put(acceptorName, acceptor.state());
            CommittedState committed = acceptor.committed();
            CommittedState other = committedByGeneration.putIfAbsent(committed.generation(), committed);
            assertTrue(other == null || other.equals(committed), "two states committed in one generation");
        }

        void step() {
            if (random.nextInt(60) == 0 && !activeProposers.isEmpty()) {
                // The proposer's machine crashes at a random point, or starts another round.
                String proposerName = pick(List.copyOf(activeProposers.keySet()));
                if (random.nextInt(3) == 0) {
                    stoppedProposers.add(activeProposers.remove(proposerName));
                } else {
                    broadcast(proposerName, restartRound(activeProposers.get(proposerName)));
                }
            }
            if (random.nextInt(15) == 0) {
                String acceptorName = pick(acceptorNames);
                running.computeIfAbsent(acceptorName, name -> new Acceptor(name, persisted.get(name)));
            }
            if (!inFlight.isEmpty()) {
                Runnable next = inFlight.remove(random.nextInt(inFlight.size()));
                if (random.nextDouble() >= lossRate) {
                    next.run();
                }
            }
        }

        private static Message restartRound(Proposer proposer) {
            return proposer.outcome() instanceof Pending ? proposer.startRound() : null;
        }

        <T> T pick(List<T> candidates) {
            return candidates.get(random.nextInt(candidates.size()));
        }

        /**
         * Restarts all acceptors and makes them reachable for each other, so that they exchange committed states and
         * complete open generations.
         */
        void converge() {
            acceptorNames.forEach(
                    name -> running.computeIfAbsent(name, newName -> new Acceptor(newName, persisted.get(newName))));
            inFlight.clear();
            stoppedProposers.addAll(activeProposers.values());
            activeProposers.clear();
            for (int i = 0; i < 100 && !converged(); i++) {
                for (String acceptorName : acceptorNames) {
                    Acceptor acceptor = running.get(acceptorName);
                    acceptorNames.forEach(name -> running.get(name).learn(acceptor.committed()));
                    if (acceptor.hasOpenProposal()) {
                        recover(acceptorName, 100 + i);
                    }
                }
                acceptorNames.forEach(name -> persist(name, running.get(name)));
            }
        }

        private void recover(String recovering, long round) {
            Proposer proposer = running.get(recovering).recoveryProposer(acceptorNames, round);
            for (Message message = proposer.startRound(); message != null; ) {
                Message next = null;
                for (String voter : acceptorNames) {
                    Message response = proposer.onReply(running.get(voter).onMessage(message));
                    next = response != null ? response : next;
                }
                message = next;
            }
        }

        boolean converged() {
            return acceptorNames.stream().noneMatch(name -> running.get(name).hasOpenProposal())
                    && acceptorNames.stream()
                                    .map(name -> running.get(name).committed())
                                    .distinct()
                                    .count()
                            == 1;
        }
    }

    @Test
    void noScheduleCommitsTwoCommandsAndEveryProposerLearnsTheOutcome() {
        int committedCount = 0;
        int conflictCount = 0;
        int recoveredCount = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            RandomSchedule schedule = new RandomSchedule(seed);
            schedule.activeProposers.forEach((name, proposer) -> schedule.broadcast(name, proposer.startRound()));
            for (int i = 0; i < 250; i++) {
                schedule.step();
            }
            schedule.converge();
            assertTrue(schedule.converged(), "seed " + seed + " does not converge");
            CommittedState first = schedule.committedByGeneration.get(1L);
            for (Proposer proposer : schedule.stoppedProposers) {
                if (proposer.outcome() instanceof Committed committed) {
                    assertEquals(
                            first.command(),
                            committed.state().activeCommands().get("n1"),
                            "seed " + seed + ": the proposer reports another command as committed");
                    committedCount++;
                } else if (proposer.outcome() instanceof Conflict conflict) {
                    assertTrue(
                            conflict.state().generation() > 1
                                    || conflict.state().equals(first),
                            "the conflict names a state that was not committed, seed " + seed);
                    conflictCount++;
                }
            }
            CommittedState finalState = schedule.running.get("agent0").committed();
            recoveredCount += finalState.command() != null
                            && schedule.stoppedProposers.stream()
                                    .noneMatch(proposer -> proposer.outcome() instanceof Committed)
                    ? 1
                    : 0;
            // All instances have the same last command, or none.
            assertTrue(
                    finalState.activeCommands().isEmpty()
                            || finalState.activeCommands().keySet().equals(TARGETS)
                                    && finalState.activeCommands().values().stream()
                                                    .distinct()
                                                    .count()
                                            == 1,
                    "seed " + seed + ": " + finalState);
        }
        // The test is meaningful only if each of these outcomes is frequent.
        assertTrue(
                committedCount > SCHEDULES / 2 && conflictCount > SCHEDULES / 4 && recoveredCount > SCHEDULES / 100,
                committedCount + " committed, " + conflictCount + " conflicts, " + recoveredCount + " recovered");
    }

    @Test
    void commandBasedOnAnOutdatedStateConflictsAndNamesTheCommittedOne() {
        List<String> acceptors = List.of("a", "b", "c");
        Map<String, Acceptor> running = new HashMap<>();
        acceptors.forEach(name -> running.put(name, new Acceptor(name, AcceptorState.INITIAL)));
        Proposer first = new Proposer("ann", acceptors, CommittedState.INITIAL, command("ann", Action.DRAIN), 1);
        // Acceptor "c" cannot be reached.
        runProposer(first, running, List.of("a", "b"));
        CommittedState drained =
                assertInstanceOf(Committed.class, first.outcome()).state();
        Proposer outdated = new Proposer("ben", acceptors, CommittedState.INITIAL, command("ben", Action.UNDRAIN), 1);
        runProposer(outdated, running, acceptors);
        assertEquals(
                "ann",
                assertInstanceOf(Conflict.class, outdated.outcome())
                        .state()
                        .command()
                        .operator());
        assertEquals(drained, running.get("c").committed(), "the conflicting proposer informs acceptor c");
        Proposer retry = new Proposer("ben", acceptors, drained, command("ben", Action.UNDRAIN), 1);
        runProposer(retry, running, acceptors);
        assertEquals(
                Action.UNDRAIN,
                assertInstanceOf(Committed.class, retry.outcome())
                        .state()
                        .activeCommands()
                        .get("n1")
                        .action());
    }

    @Test
    void minorityCommitsNothing() {
        List<String> acceptors = List.of("a", "b", "c", "d");
        Map<String, Acceptor> running = new HashMap<>();
        acceptors.forEach(name -> running.put(name, new Acceptor(name, AcceptorState.INITIAL)));
        Proposer minority = new Proposer("ann", acceptors, CommittedState.INITIAL, command("ann", Action.DRAIN), 1);
        runProposer(minority, running, List.of("a", "b"));
        assertInstanceOf(Pending.class, minority.outcome());
        assertEquals(CommittedState.INITIAL, running.get("a").committed());
    }

    private static void runProposer(Proposer proposer, Map<String, Acceptor> running, List<String> reachable) {
        for (Message message = proposer.startRound(); message != null; ) {
            Message next = null;
            for (String acceptorName : reachable) {
                Message response = proposer.onReply(running.get(acceptorName).onMessage(message));
                next = response != null ? response : next;
            }
            message = next;
        }
    }
}

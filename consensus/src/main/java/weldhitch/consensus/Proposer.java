package weldhitch.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import weldhitch.consensus.Message.Accept;
import weldhitch.consensus.Message.Learn;
import weldhitch.consensus.Message.Prepare;
import weldhitch.consensus.Reply.Accepted;
import weldhitch.consensus.Reply.AlreadyCommitted;
import weldhitch.consensus.Reply.Preempted;
import weldhitch.consensus.Reply.Promise;

/**
 * A Paxos proposer of one command, in the generation after the one that its operator has seen. Its outcome is known
 * when that generation is committed, with this command or with another one. The outcome stays pending until a majority
 * of the acceptors has accepted a command. If another proposer has started a command, that command is completed instead
 * of this one, so that a proposal whose operator crashed does not stay incomplete.
 *
 * <p>Not thread-safe; its owner sends the returned messages to all acceptors.
 */
public final class Proposer {
    /** The result so far. */
    public sealed interface Outcome {}

    /** No decision yet. */
    public record Pending() implements Outcome {}

    /** The command is committed, and {@code state} is the resulting state. */
    public record Committed(CommittedState state) implements Outcome {}

    /**
     * Another command was committed first, or was completed instead of this one; {@code state} is the last committed
     * one and contains the operator and the issue time of its command.
     */
    public record Conflict(CommittedState state) implements Outcome {}

    private final String name;
    private final List<String> acceptors;
    private final CommittedState baseState;
    private final Command command;
    private final Set<String> promisedBy = new HashSet<>();
    private final Set<String> acceptedBy = new HashSet<>();
    private Ballot ballot;
    private long highestRound;
    private Ballot highestAcceptedBallot;
    private CommittedState proposedState;
    private boolean inAcceptPhase;
    private Outcome outcome = new Pending();

    /**
     * Creates a proposer; {@link #startRound} starts it.
     *
     * @param name the proposer's name, unique among all active proposers
     * @param acceptors all acceptors of the fleet, a majority of which decides
     * @param baseState the committed state that the operator's command is based on
     * @param firstRound the first round to use, from 1
     */
    public Proposer(String name, List<String> acceptors, CommittedState baseState, Command command, long firstRound) {
        this.name = name;
        this.acceptors = List.copyOf(acceptors);
        this.baseState = baseState;
        this.command = command;
        highestRound = firstRound - 1;
    }

    /** Returns the result so far. */
    public Outcome outcome() {
        return outcome;
    }

    /** Starts a round with a ballot above all those seen so far; returns the message to send to every acceptor. */
    public Message startRound() {
        ballot = new Ballot(++highestRound, name);
        promisedBy.clear();
        acceptedBy.clear();
        highestAcceptedBallot = null;
        proposedState = baseState.apply(command);
        inAcceptPhase = false;
        return new Prepare(baseState.generation() + 1, ballot);
    }

    /** Handles a reply and returns the message to send to every acceptor now, or null for none. */
    public Message onReply(Reply reply) {
        if (!(outcome instanceof Pending)) {
            return null;
        }
        if (reply instanceof AlreadyCommitted alreadyCommitted) {
            return alreadyCommitted.state().generation() > baseState.generation()
                    ? finish(alreadyCommitted.state())
                    : null;
        }
        if (reply instanceof Preempted preempted) {
            highestRound = Math.max(highestRound, preempted.promised().round());
        } else if (reply instanceof Promise promise && promise.ballot().equals(ballot) && !inAcceptPhase) {
            promisedBy.add(promise.acceptor());
            if (promise.acceptedBallot() != null
                    && (highestAcceptedBallot == null
                            || promise.acceptedBallot().compareTo(highestAcceptedBallot) > 0)) {
                highestAcceptedBallot = promise.acceptedBallot();
                proposedState = promise.accepted();
            }
            if (isMajority(promisedBy)) {
                inAcceptPhase = true;
                return new Accept(ballot, proposedState);
            }
        } else if (reply instanceof Accepted accepted && accepted.ballot().equals(ballot) && inAcceptPhase) {
            acceptedBy.add(accepted.acceptor());
            if (isMajority(acceptedBy)) {
                return finish(proposedState);
            }
        }
        return null;
    }

    private boolean isMajority(Set<String> voters) {
        return 2 * voters.size() > acceptors.size();
    }

    private Message finish(CommittedState committedState) {
        boolean stillActive = committedState.activeCommands().values().stream()
                .anyMatch(active -> active.id().equals(command.id()));
        outcome = stillActive || committedState.command().id().equals(command.id())
                ? new Committed(committedState)
                : new Conflict(committedState);
        return new Learn(committedState);
    }
}

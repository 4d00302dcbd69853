package weldhitch.consensus;

import java.util.List;
import weldhitch.consensus.Message.Accept;
import weldhitch.consensus.Message.Learn;
import weldhitch.consensus.Message.Prepare;
import weldhitch.consensus.Reply.Accepted;
import weldhitch.consensus.Reply.AlreadyCommitted;
import weldhitch.consensus.Reply.Preempted;
import weldhitch.consensus.Reply.Promise;
import weldhitch.consensus.Reply.Superseded;

/**
 * An acceptor of Paxos (Lamport, "Paxos Made Simple", 2001, section 2.2) that runs one instance per generation and
 * discards an instance when the next one starts. Nothing is lost by that, because a proposer of a generation has seen
 * the previous generation committed.
 *
 * <p>A reply may be sent only once the {@link AcceptorState} is on disk.
 *
 * <p>Not thread-safe.
 */
public final class Acceptor {

    private final String name;
    private AcceptorState state;

    /** Creates an acceptor that continues from the given state. */
    public Acceptor(String name, AcceptorState state) {
        this.name = name;
        this.state = state;
    }

    /** Returns the state, which must be on disk before the last reply is sent. */
    public AcceptorState state() {
        return state;
    }

    /** Returns the last state known to be committed. */
    public CommittedState committed() {
        return state.committed();
    }

    /** Returns whether the current generation has a promise or an accepted value and is not yet committed. */
    public boolean hasOpenProposal() {
        return state.generation() > state.committed().generation() && state.promised() != null;
    }

    /** Handles a message and returns the reply, which may be sent once the state is on disk. */
    public Reply onMessage(Message message) {
        long generation = message.generation();
        if (message instanceof Learn learn) {
            learn(learn.state());
            return new AlreadyCommitted(name, state.committed());
        }
        if (generation <= state.committed().generation()) {
            return new AlreadyCommitted(name, state.committed());
        }
        if (generation < state.generation()) {
            return new Superseded(name, state.generation());
        }
        if (generation > state.generation()) {
            state = state.atGeneration(generation);
        }
        if (message instanceof Prepare prepare) {
            if (isBelowPromise(prepare.ballot())) {
                return new Preempted(name, prepare.ballot(), state.promised());
            }
            state = state.withPromise(prepare.ballot());
            return new Promise(name, prepare.ballot(), state.acceptedBallot(), state.accepted());
        }
        Accept accept = (Accept) message;
        if (isBelowPromise(accept.ballot())) {
            return new Preempted(name, accept.ballot(), state.promised());
        }
        state = state.withAccepted(accept.ballot(), accept.state());
        return new Accepted(name, accept.ballot());
    }

    private boolean isBelowPromise(Ballot ballot) {
        return state.promised() != null && ballot.compareTo(state.promised()) < 0;
    }

    /** Adopts a state that another acceptor knows to be committed. */
    public void learn(CommittedState learned) {
        if (learned.generation() > state.committed().generation()) {
            state = state.withCommitted(learned);
        }
    }

    /** Returns a proposer that completes the open generation under the name of this acceptor. */
    public Proposer recoveryProposer(List<String> acceptors, long round) {
        return new Proposer(name, acceptors, state.committed(), Command.noOp(name), round);
    }
}

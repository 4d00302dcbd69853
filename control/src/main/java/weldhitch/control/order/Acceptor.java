package weldhitch.control.order;

import java.util.List;
import weldhitch.control.order.Message.*;
import weldhitch.control.order.Reply.*;

/**
 * An agent's part in deciding one order after another: an acceptor of Paxos (Lamport, "Paxos Made Simple", 2001, section
 * 2.2) for each generation, which forgets a generation when the next one begins. Whoever proposes in a generation has
 * seen the one before decided, so nothing is lost by that.
 *
 * <p>What it answers holds only once its {@link Kept} state is on disk: write first, then answer.
 */
public final class Acceptor {
    /**
     * What must survive a crash.
     *
     * @param decided the last epoch known to be decided
     * @param generation the generation that promised and taken are of
     */
    public record Kept(Epoch decided, long generation, Ballot promised, Ballot takenBallot, Epoch taken) {
        public static final Kept FIRST = new Kept(Epoch.FIRST, 1, null, null, null);
    }

    private final String name;
    private Kept kept;

    public Acceptor(String name, Kept kept) {
        this.name = name;
        this.kept = kept;
    }

    public Kept kept() {
        return kept;
    }

    /** What is in force. */
    public Epoch decided() {
        return kept.decided();
    }

    /** Whether something was promised or taken that has not come to an end. */
    public boolean open() {
        return kept.generation() > kept.decided().generation() && kept.promised() != null;
    }

    public Reply on(Message message) {
        long generation = message.generation();
        if (message instanceof Decide decide) {
            learn(decide.epoch());
            return new Decided(name, kept.decided());
        }
        if (generation <= kept.decided().generation()) {
            return new Decided(name, kept.decided());
        }
        if (generation < kept.generation()) {
            return new Passed(name, kept.generation());
        }
        if (generation > kept.generation()) {
            kept = new Kept(kept.decided(), generation, null, null, null);
        }
        if (message instanceof Prepare prepare) {
            if (lower(prepare.ballot())) {
                return new Outbid(name, prepare.ballot(), kept.promised());
            }
            kept = new Kept(kept.decided(), generation, prepare.ballot(), kept.takenBallot(), kept.taken());
            return new Promise(name, prepare.ballot(), kept.takenBallot(), kept.taken());
        }
        Propose propose = (Propose) message;
        if (lower(propose.ballot())) {
            return new Outbid(name, propose.ballot(), kept.promised());
        }
        kept = new Kept(kept.decided(), generation, propose.ballot(), propose.ballot(), propose.epoch());
        return new Taken(name, propose.ballot());
    }

    private boolean lower(Ballot ballot) {
        return kept.promised() != null && ballot.compareTo(kept.promised()) < 0;
    }

    /** Takes over what another knows to be decided. */
    public void learn(Epoch epoch) {
        if (epoch.generation() > kept.decided().generation()) {
            kept = epoch.generation() >= kept.generation() ? new Kept(epoch, epoch.generation() + 1, null, null, null)
                : new Kept(epoch, kept.generation(), kept.promised(), kept.takenBallot(), kept.taken());
        }
    }

    /** A proposer that brings the open generation to an end, in the name of this agent. */
    public Proposer recovery(List<String> agents, long round) {
        return new Proposer(name, agents, kept.decided(), Order.nothing(name), round);
    }
}

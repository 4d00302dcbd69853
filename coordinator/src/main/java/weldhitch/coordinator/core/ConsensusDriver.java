package weldhitch.coordinator.core;

import java.util.List;
import weldhitch.consensus.Acceptor;
import weldhitch.consensus.AcceptorState;
import weldhitch.consensus.Command;
import weldhitch.consensus.CommittedState;
import weldhitch.consensus.Message;
import weldhitch.consensus.Proposer;
import weldhitch.consensus.Reply;
import weldhitch.coordinator.core.Effect.Send;
import weldhitch.fleet.activation.LeaseTiming;

/**
 * Drives the consensus of {@code weldhitch.consensus}: this coordinator's acceptor, at most one proposal of its
 * own at a time with its retries, and the recovery of coordinators that missed a commit.
 *
 * <p>Not thread-safe; owned by {@link CoordinatorCore}. Times are nanoseconds of this process's monotonic clock.
 */
final class ConsensusDriver {
    /** Receives the results of proposals, synchronously and before the next message is sent. */
    interface Listener {
        /** The committed state may have changed, by whichever proposer. */
        void onCommitted(long now, List<Effect> effects);

        /** The no-op by which this coordinator confirms its leadership is committed. */
        void onLeadershipConfirmed(long now);
    }

    private static final String LEADERSHIP_COMMAND_PREFIX = "open ";

    private final CoordinatorConfig config;
    private final LeaseTiming timing;
    private final boolean voting;
    private final Jitter jitter;
    private final Listener listener;
    private Acceptor acceptor;
    /** Since when the acceptor has had a promise or an accepted value that is not committed. */
    private long proposalOpenSince;
    /** The proposal in progress, or null. */
    private Proposer proposer;

    private Command proposedCommand;
    private long proposedAt;
    private long round;
    private long commandCount;

    /**
     * Restores the acceptor.
     *
     * @param voting whether the acceptor votes; if not, it only learns what others have committed
     */
    ConsensusDriver(
            CoordinatorConfig config, AcceptorState acceptorState, boolean voting, Jitter jitter, Listener listener) {
        this.config = config;
        this.voting = voting;
        this.jitter = jitter;
        this.listener = listener;
        timing = config.timing();
        acceptor = new Acceptor(config.name(), acceptorState);
    }

    AcceptorState acceptorState() {
        return acceptor.state();
    }

    CommittedState committed() {
        return acceptor.committed();
    }

    long generation() {
        return acceptor.committed().generation();
    }

    /** Returns to the state on disk and abandons the proposal in progress. */
    void rollBack(AcceptorState persistedState) {
        acceptor = new Acceptor(config.name(), persistedState);
        proposer = null;
    }

    /** A leadership begins: the age of an open proposal counts from now. */
    void startLeadership(long now) {
        proposer = null;
        proposalOpenSince = now;
    }

    void abandonProposal() {
        proposer = null;
    }

    boolean isProposing() {
        return proposer != null;
    }

    /** Whether the proposal in progress has that action. */
    boolean isProposing(Command.Action action) {
        return proposer != null && proposedCommand.action() == action;
    }

    /** Whether a proposal of another coordinator has been open for longer than a leader's lease. */
    boolean hasAbandonedProposal(long now) {
        if (!acceptor.hasOpenProposal()) {
            proposalOpenSince = now;
        }
        return now - proposalOpenSince > timing.leaderLease();
    }

    /** Returns a command id that is unique among all coordinators and starts. */
    String nextCommandId() {
        return config.proposerName() + "/" + ++commandCount;
    }

    /** Proposes a no-op, which also completes whatever another coordinator left undecided. */
    void proposeLeadershipNoOp(long now, List<Effect> effects) {
        propose(FleetState.leadershipNoOp(config.name(), LEADERSHIP_COMMAND_PREFIX + nextCommandId()), now, effects);
    }

    /** Starts a proposal; there must be none in progress. */
    void propose(Command command, long now, List<Effect> effects) {
        proposedCommand = command;
        proposer = new Proposer(config.proposerName(), config.coordinators(), acceptor.committed(), command, ++round);
        proposedAt = now;
        sendToAcceptors(proposer.startRound(), now, effects);
    }

    /** Starts another round of the proposal in progress once it has waited for a random time. */
    void retryIfDue(long now, List<Effect> effects) {
        if (proposer != null && now - proposedAt > timing.leaderLease() / 2 + jitter.below(timing.leaderLease() / 2)) {
            proposedAt = now;
            sendToAcceptors(proposer.startRound(), now, effects);
        }
    }

    /**
     * Sends a proposer's message to all acceptors, this coordinator's own included, and handles the reply of
     * the latter.
     */
    private void sendToAcceptors(Message message, long now, List<Effect> effects) {
        Message next = message;
        while (next != null) {
            Send.toAll(config.peers(), new PeerMessage.ConsensusRequest(config.proposerName(), next), effects);
            Reply ownReply = acceptor.onMessage(next);
            if (next instanceof Message.Prepare prepare) {
                round = Math.max(round, prepare.ballot().round());
            }
            Proposer activeProposer = proposer;
            next = activeProposer == null ? null : activeProposer.onReply(ownReply);
            listener.onCommitted(now, effects);
            if (proposer != activeProposer) {
                return;
            }
        }
        if (proposer != null && !(proposer.outcome() instanceof Proposer.Pending)) {
            if (proposer.outcome() instanceof Proposer.Committed
                    && proposedCommand.id().startsWith(LEADERSHIP_COMMAND_PREFIX)) {
                listener.onLeadershipConfirmed(now);
            }
            proposer = null;
        }
    }

    /** Replies as an acceptor to another coordinator's proposer. */
    void onRequest(long now, String from, PeerMessage.ConsensusRequest request, List<Effect> effects) {
        Reply reply = voting || request.message() instanceof Message.Learn
                ? acceptor.onMessage(request.message())
                : new Reply.Abstained(config.name());
        listener.onCommitted(now, effects);
        effects.add(new Send(from, new PeerMessage.ConsensusReply(request.proposer(), reply)));
    }

    /** Handles an acceptor's reply; learns the committed state if the reply shows a later one. */
    void onReply(long now, PeerMessage.ConsensusReply response, List<Effect> effects) {
        if (proposer != null && response.proposer().equals(config.proposerName())) {
            sendToAcceptors(proposer.onReply(response.reply()), now, effects);
        }
        if (response.reply() instanceof Reply.AlreadyCommitted alreadyCommitted
                && alreadyCommitted.state().generation() > generation()) {
            acceptor.learn(alreadyCommitted.state());
            listener.onCommitted(now, effects);
        }
    }

    /** Sends the committed state to another coordinator if that one knows an earlier one. */
    void catchUp(String peer, long knownGeneration, List<Effect> effects) {
        if (knownGeneration < generation()) {
            effects.add(new Send(
                    peer, new PeerMessage.ConsensusRequest(config.name(), new Message.Learn(acceptor.committed()))));
        }
    }
}

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
 * Drives the consensus of {@code weldhitch.consensus} on behalf of one coordinator. It owns the coordinator's acceptor,
 * runs at most one proposal of this coordinator at a time, retries that proposal, and brings coordinators that missed a
 * commit up to date.
 *
 * <p>Not thread-safe; owned by {@link CoordinatorCore}. Times are nanoseconds of this process's monotonic clock.
 */
final class ConsensusDriver {
    /** Receives the results of proposals, synchronously and before the next message is sent. */
    interface Listener {
        /** Called when the committed state may have changed, whichever coordinator proposed the change. */
        void onCommitted(long now, List<Effect> effects);

        /** Called when the no-op by which this coordinator confirms its leadership is committed. */
        void onLeadershipConfirmed(long now);
    }

    private static final String LEADERSHIP_COMMAND_PREFIX = "open ";

    private final CoordinatorConfig config;
    private final LeaseTiming timing;
    private final boolean voting;
    private final Jitter jitter;
    private final Listener listener;
    private Acceptor acceptor;
    /** Time since which the acceptor has had a promise or an accepted value that is not committed. */
    private long proposalOpenSince;
    /** The proposal in progress; null if there is none. */
    private Proposer proposer;

    private Command proposedCommand;
    private long proposedAt;
    private long round;
    private long commandCount;

    /**
     * Creates a driver whose acceptor continues from a restored state.
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

    /** Restores the state that is on disk and abandons the proposal in progress. */
    void rollBack(AcceptorState persistedState) {
        acceptor = new Acceptor(config.name(), persistedState);
        proposer = null;
    }

    /** Starts a leadership: abandons the proposal in progress and measures the age of an open proposal from now. */
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

    /** Returns whether the command of the proposal in progress has this action. */
    boolean isProposing(Command.Action action) {
        return proposer != null && proposedCommand.action() == action;
    }

    /** Returns whether a proposal of another coordinator has been open for longer than a leader lease. */
    boolean hasAbandonedProposal(long now) {
        if (!acceptor.hasOpenProposal()) {
            proposalOpenSince = now;
        }
        return now - proposalOpenSince > timing.leaderLease();
    }

    /** Returns a command id that is unique among all coordinators and all starts of a coordinator. */
    String nextCommandId() {
        return config.proposerName() + "/" + ++commandCount;
    }

    /** Proposes a no-op, which also completes a proposal that another coordinator left undecided. */
    void proposeLeadershipNoOp(long now, List<Effect> effects) {
        propose(FleetState.leadershipNoOp(config.name(), LEADERSHIP_COMMAND_PREFIX + nextCommandId()), now, effects);
    }

    /** Starts a proposal; no other proposal may be in progress. */
    void propose(Command command, long now, List<Effect> effects) {
        proposedCommand = command;
        proposer = new Proposer(config.proposerName(), config.coordinators(), acceptor.committed(), command, ++round);
        proposedAt = now;
        sendToAcceptors(proposer.startRound(), now, effects);
    }

    /** Starts another round of the proposal in progress if a randomized retry delay has passed. */
    void retryIfDue(long now, List<Effect> effects) {
        if (proposer != null && now - proposedAt > timing.leaderLease() / 2 + jitter.below(timing.leaderLease() / 2)) {
            proposedAt = now;
            sendToAcceptors(proposer.startRound(), now, effects);
        }
    }

    /**
     * Sends a proposer's message to all acceptors, this coordinator's own included, and handles the reply of its own
     * acceptor.
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

    /** Handles a consensus message of another coordinator's proposer and replies as its acceptor. */
    void onRequest(long now, String from, PeerMessage.ConsensusRequest request, List<Effect> effects) {
        Reply reply = voting || request.message() instanceof Message.Learn
                ? acceptor.onMessage(request.message())
                : new Reply.Abstained(config.name());
        listener.onCommitted(now, effects);
        effects.add(new Send(from, new PeerMessage.ConsensusReply(request.proposer(), reply)));
    }

    /** Handles an acceptor's reply and adopts the committed state in it if that is later than the one known here. */
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

    /** Sends the committed state to another coordinator if that one knows only an earlier generation. */
    void catchUp(String peer, long knownGeneration, List<Effect> effects) {
        if (knownGeneration < generation()) {
            effects.add(new Send(
                    peer, new PeerMessage.ConsensusRequest(config.name(), new Message.Learn(acceptor.committed()))));
        }
    }
}

package weldhitch.coordinator.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import weldhitch.consensus.AcceptorState;
import weldhitch.consensus.Command;
import weldhitch.coordinator.core.Effect.LogEvent;
import weldhitch.coordinator.core.Effect.Submitted;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.activation.MemberHeartbeatResponse;

/**
 * Makes the decisions of a coordinator as a pure event handler. It routes each event to the class in charge and decides
 * which command is proposed next. Election, heartbeats, consensus, membership, voting and submissions are each handled
 * by a separate class. Every event carries the time of this process's monotonic clock, in nanoseconds.
 *
 * <p>After each event, if {@link #acceptorState} has changed, the owner writes it to disk before it executes the
 * returned effects. If the write fails, the owner executes none of the effects and calls {@link #rollBack}.
 *
 * <p>Not thread-safe.
 */
public final class CoordinatorCore {
    private final CoordinatorConfig config;
    private final LeaseTiming timing;
    private final Safeguards safeguards;
    private final boolean voting;
    private final ElectionProtocol elections;
    private final FleetClock clock;
    private final HeartbeatExchange heartbeats;
    private final ConsensusDriver consensus;
    private final MembershipChanges membership;
    private final MemberLeases leases;
    private final VersionVoting versionVoting;
    private final SubmissionQueue submissions;
    private FleetState fleetState;
    /** Whether the first command of this leadership is committed, which implies that all earlier ones are known. */
    private boolean leaderReady;

    private long leadingSince;

    /**
     * Restores a coordinator that has just started.
     *
     * @param acceptorState the acceptor's state on disk
     * @param voting whether this coordinator votes; false if its disk may have lost a promise
     * @param now time of this process's monotonic clock, in nanoseconds
     * @param seed seed of the random election and retry delays, and of the first term
     */
    public CoordinatorCore(CoordinatorConfig config, AcceptorState acceptorState, boolean voting, long now, long seed) {
        this(config, acceptorState, voting, now, seed, Safeguards.ALL);
    }

    /** Restores a coordinator with some safeguards disabled, for tests that show what breaks without them. */
    CoordinatorCore(
            CoordinatorConfig config,
            AcceptorState acceptorState,
            boolean voting,
            long now,
            long seed,
            Safeguards safeguards) {
        this.config = config;
        this.voting = voting;
        this.safeguards = safeguards;
        timing = config.timing();
        Jitter jitter = new Jitter(seed);
        elections = new ElectionProtocol(config, voting, jitter, now);
        clock = new FleetClock(timing.maxClockDrift());
        heartbeats = new HeartbeatExchange(config, elections, clock);
        consensus = new ConsensusDriver(config, acceptorState, voting, jitter, new CommitHandler());
        membership = new MembershipChanges(config.name(), consensus::nextCommandId);
        leases = new MemberLeases(timing.memberLease());
        versionVoting = new VersionVoting(config, safeguards, clock, consensus::nextCommandId);
        submissions = new SubmissionQueue(config.name());
        fleetState = FleetState.fromCommitted(acceptorState.committed());
    }

    /** Returns the acceptor's state, which must be on disk before any returned effect is executed. */
    public AcceptorState acceptorState() {
        return consensus.acceptorState();
    }

    /**
     * Returns to the state on disk after a state returned by {@link #acceptorState} could not be written, and abandons
     * this coordinator's proposal and leadership.
     */
    public void rollBack(AcceptorState persistedState) {
        consensus.rollBack(persistedState);
        fleetState = FleetState.fromCommitted(persistedState.committed());
        elections.stepDown();
        leaderReady = false;
    }

    /** Returns the committed route versions and members. */
    public FleetState fleetState() {
        return fleetState;
    }

    /** Returns the last generation that this coordinator knows to be committed. */
    public long generation() {
        return consensus.generation();
    }

    /** Returns whether this coordinator is the leader, knows all committed commands, and may act. */
    public boolean isLeader(long now) {
        return elections.isLeader(now) && leaderReady;
    }

    /** Returns when this coordinator's leadership began, by its own clock; 0 if it is not the leader. */
    public long leadingSince() {
        return leadingSince;
    }

    /** Returns the leader as far as this coordinator knows; null if it knows none. */
    public String leader(long now) {
        return elections.leader(now);
    }

    /** Returns how many coordinators follow this one, itself included. */
    public int followerCount(long now) {
        return elections.followerCount(now);
    }

    /** Returns the members that hold a lease granted by this leader at {@code now}. */
    public Set<String> leaseHolders(long now) {
        return leases.holders(now);
    }

    /** Returns the maximum interval between calls of {@link #tick}, in nanoseconds. */
    public long tickInterval() {
        return timing.leaderLease() / 40;
    }

    /** Performs the actions that are due by now. Must be called at least every {@link #tickInterval}. */
    public List<Effect> tick(long now) {
        List<Effect> effects = new ArrayList<>();
        expireLeadership(now, effects);
        if (!voting) {
            return effects;
        }
        if (elections.isLeader(now)) {
            heartbeats.sendIfDue(now, generation(), effects);
        } else if (elections.onTick(now, effects)) {
            becomeLeaderIfElected(now, effects);
        }
        consensus.retryIfDue(now, effects);
        proposeNext(now, effects);
        return effects;
    }

    /** Handles a message of another coordinator. */
    public List<Effect> onMessage(long now, String from, PeerMessage message) {
        List<Effect> effects = new ArrayList<>();
        expireLeadership(now, effects);
        if (message instanceof PeerMessage.VoteRequest voteRequest) {
            elections.onVoteRequest(now, from, voteRequest, effects);
        } else if (message instanceof PeerMessage.VoteGranted voteGranted) {
            elections.onVoteGranted(from, voteGranted);
            becomeLeaderIfElected(now, effects);
        } else if (message instanceof PeerMessage.VoteRelease voteRelease) {
            elections.onVoteRelease(now, from, voteRelease);
        } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
            if (heartbeats.onHeartbeat(now, from, heartbeat, generation(), effects)) {
                consensus.catchUp(from, heartbeat.generation(), effects);
            }
        } else if (message instanceof PeerMessage.HeartbeatAck heartbeatAck) {
            heartbeats.onHeartbeatAck(now, from, heartbeatAck);
            consensus.catchUp(from, heartbeatAck.generation(), effects);
        } else if (message instanceof PeerMessage.ConsensusRequest consensusRequest) {
            consensus.onRequest(now, from, consensusRequest, effects);
        } else if (message instanceof PeerMessage.ConsensusReply consensusReply) {
            consensus.onReply(now, consensusReply, effects);
        }
        proposeNext(now, effects);
        return effects;
    }

    /**
     * Handles a member's call and returns the response according to the current state. The call may change what is
     * proposed next, so the owner should call {@link #tick} soon after.
     */
    public MemberHeartbeatResponse onMemberCall(long now, MemberHeartbeat call) {
        if (!isLeader(now)) {
            return MemberHeartbeatResponse.fromFollower(
                    leader(now),
                    generation(),
                    fleetState.activeVersion(),
                    fleetState.pendingVersion(),
                    fleetState.outcome());
        }
        boolean joined = membership.onCall(call, fleetState.members());
        if (joined) {
            versionVoting.onCall(call, fleetState);
        }
        boolean commitUndecided = safeguards.withholdLeases() && consensus.isProposing(Command.Action.COMMIT);
        boolean leaseGranted = joined && !commitUndecided;
        if (leaseGranted) {
            leases.grant(call.member(), now);
        }
        return new MemberHeartbeatResponse(
                true,
                config.name(),
                generation(),
                joined,
                leaseGranted,
                timing.usableMemberLease(),
                clock.id(),
                clock.readingAt(now),
                clock.errorBound(),
                fleetState.activeVersion(),
                fleetState.pendingVersion(),
                fleetState.outcome(),
                config.missingMemberPolicy() == MissingMemberPolicy.FENCE);
    }

    /** Submits a version; {@code submissionId} identifies this submission permanently. */
    public List<Effect> submit(long now, String submissionId, String fileName, String sha256, String bundle) {
        List<Effect> effects = new ArrayList<>();
        expireLeadership(now, effects);
        if (fleetState.submissionIds().contains(submissionId)) {
            // The version was prepared before this process started, or by another coordinator.
            effects.add(new Submitted(submissionId, 0));
            return effects;
        }
        submissions.add(new SubmissionQueue.Submission(submissionId, fileName, sha256, bundle));
        proposeNext(now, effects);
        return effects;
    }

    /**
     * Removes a member permanently, at an operator's request. Only the leader can remove members; returns false on any
     * other coordinator.
     */
    public boolean removeMember(long now, String member) {
        if (!isLeader(now)) {
            return false;
        }
        membership.remove(member, fleetState.members());
        return true;
    }

    /**
     * Steps down if the leader's lease has expired, for example because the process was suspended. Called before any
     * other action of an event.
     */
    private void expireLeadership(long now, List<Effect> effects) {
        if (leadingSince > 0 && !elections.isLeader(now)) {
            leadingSince = 0;
            leaderReady = false;
            consensus.abandonProposal();
            versionVoting.endLeadership();
            leases.clear();
            membership.clear();
            elections.onLeadershipExpired(now);
            effects.add(new LogEvent("leadership lost: the lease has expired"));
        }
    }

    private void becomeLeaderIfElected(long now, List<Effect> effects) {
        if (!elections.becomeLeaderIfElected(now)) {
            return;
        }
        leadingSince = Math.max(1, now);
        leaderReady = !safeguards.confirmLeadership();
        consensus.startLeadership(now);
        versionVoting.startLeadership(now);
        leases.clear();
        heartbeats.startLeadership(now);
        clock.startLeadership(now, fleetState, config.proposerName() + "/" + elections.term());
        effects.add(new LogEvent("became leader, followed by " + elections.followerCount(now) + " of "
                + config.coordinators().size()));
    }

    /** Proposes the next command unless a proposal is in progress. */
    private void proposeNext(long now, List<Effect> effects) {
        if (!voting || consensus.isProposing()) {
            return;
        }
        if (!elections.isLeader(now)) {
            submissions.nextCommand(fleetState).ifPresent(command -> consensus.propose(command, now, effects));
            return;
        }
        boolean proposalAbandoned = consensus.hasAbandonedProposal(now);
        if (!leaderReady || proposalAbandoned) {
            // The no-op completes a proposal that a former leader, or a coordinator with a submission, left undecided.
            consensus.proposeLeadershipNoOp(now, effects);
            return;
        }
        nextLeaderCommand(now, effects).ifPresent(command -> consensus.propose(command, now, effects));
    }

    private Optional<Command> nextLeaderCommand(long now, List<Effect> effects) {
        Optional<Command> membershipCommand = membership.nextCommand(fleetState);
        if (membershipCommand.isPresent()) {
            return membershipCommand;
        }
        return fleetState.pendingVersion() == null
                ? submissions.nextCommand(fleetState)
                : versionVoting.nextCommand(now, fleetState, effects);
    }

    /** Adopts the state that the consensus commits. */
    private final class CommitHandler implements ConsensusDriver.Listener {
        @Override
        public void onCommitted(long now, List<Effect> effects) {
            FleetState previous = fleetState;
            FleetState updated = FleetState.fromCommitted(consensus.committed());
            if (updated.equals(previous)) {
                return;
            }
            fleetState = updated;
            if (FleetStateChanges.isNewVersionPending(previous, updated)) {
                versionVoting.onVersionPending(now);
            }
            effects.addAll(FleetStateChanges.versionEvents(previous, updated));
            submissions.onCommitted(updated, effects);
            if (!updated.members().equals(previous.members())) {
                membership.onCommitted(updated.members());
                effects.add(FleetStateChanges.membershipEvent(updated));
            }
        }

        @Override
        public void onLeadershipConfirmed(long now) {
            leaderReady = elections.isLeader(now);
        }
    }
}

package weldhitch.coordinator.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import weldhitch.consensus.Acceptor;
import weldhitch.consensus.AcceptorState;
import weldhitch.consensus.Command;
import weldhitch.consensus.CommittedState;
import weldhitch.consensus.Message;
import weldhitch.consensus.Proposer;
import weldhitch.consensus.Reply;
import weldhitch.fleet.activation.ClockEstimate;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.activation.MemberHeartbeatResponse;
import weldhitch.fleet.error.FleetError;

/**
 * The decisions of a coordinator, as a pure event handler. Every event carries the time of this process's
 * monotonic clock, in nanoseconds. After each event the owner writes {@link #acceptorState} to disk if it has changed,
 * before it executes the returned effects; if the write fails, it executes none of them and calls
 * {@link #rollBack}.
 *
 * <p>Not thread-safe.
 */
public final class CoordinatorCore {

    /**
     * The configuration of one coordinator. Immutable.
     *
     * @param name this coordinator's name, one of {@code coordinators}
     * @param incarnation unique for each start, as no two active proposers may share a name
     * @param coordinators names of all coordinators
     * @param missingMemberPolicy what becomes of a version when a member does not vote
     */
    public record Config(
            String name,
            String incarnation,
            List<String> coordinators,
            LeaseTiming timing,
            MissingMemberPolicy missingMemberPolicy) {
        /** Copies the list of coordinators. */
        public Config {
            coordinators = List.copyOf(coordinators);
        }
    }

    /** An effect that the owner executes, once the acceptor's state is on disk. */
    public sealed interface Effect {}

    /** Sends a message to another coordinator. */
    public record Send(String to, PeerMessage message) implements Effect {}

    /** Writes an event to the log. */
    public record LogEvent(String event) implements Effect {}

    /** Reports an error in the log. */
    public record ReportError(FleetError error) implements Effect {}

    /**
     * The file submitted under that id has become a version; {@code versionNumber} is its number, 0 if that is
     * not known any more.
     */
    public record Submitted(String submissionId, long versionNumber) implements Effect {}

    /** A version that was submitted here and is not prepared yet. */
    private record PendingSubmission(String submissionId, String fileName, String sha256, String bundle) {}

    /** A member's vote on the pending version; {@code rejectionReasons} is empty if it accepts. */
    private record MemberVote(String incarnation, boolean accepts, List<String> rejectionReasons) {}

    private static final int MAX_REASON_LENGTH = 400;
    private static final String LEADERSHIP_COMMAND_PREFIX = "open ";

    private final Config config;
    private final LeaseTiming timing;
    private final SplittableRandom random;
    private final boolean voting;
    private final LeaderElection election;
    /**
     * What is known here about the leader's clock; a new leader continues it if an activation time was
     * announced by it.
     */
    private final ClockEstimate leaderClock;
    /**
     * The fleet clock of this leadership: this process's clock plus {@code clockOffset}, which deviates from
     * the former leader's clock by at most {@code clockError}. Nanoseconds.
     */
    private String clockId;

    private long clockOffset;
    private long clockError;
    private Acceptor acceptor;
    private FleetState fleetState;

    private long nextElectionAt;
    /** Until when this candidate waits for a majority of votes; 0 if there is no election in progress. */
    private long electionDeadline;

    private long nextHeartbeatAt;
    /** Whether the first command of this leadership is committed, so that all earlier ones are known too. */
    private boolean leaderReady;

    private long leadingSince;
    private final Map<String, PeerMessage.Heartbeat> lastHeartbeat = new HashMap<>();
    private final Map<String, Long> heartbeatAnsweredAt = new HashMap<>();
    private final Map<String, long[]> lastHeartbeatAck = new HashMap<>();
    /** Since when this acceptor has had a promise or an accepted value that is not committed. */
    private long proposalOpenSince;

    private Proposer proposer;
    private String proposerName;
    private Command proposedCommand;
    private long proposedAt;
    private long round;
    private long commandCount;

    private final Map<String, String> joining = new TreeMap<>();
    private final Set<String> leaving = new TreeSet<>();
    private final Map<String, Long> leaseGrantedAt = new HashMap<>();
    private final Map<String, MemberVote> memberVotes = new HashMap<>();
    private long votedVersion;
    private long pendingSince;
    private long finalizeAt = Long.MAX_VALUE;
    private boolean commitAwaitsLeaseExpiry = true;
    private boolean confirmsLeadershipFirst = true;
    private boolean withholdsLeasesDuringCommit = true;
    private boolean requiresEveryVote = true;
    private final Deque<PendingSubmission> pendingSubmissions = new ArrayDeque<>();

    /**
     * Restores a coordinator that has just started.
     *
     * @param acceptorState the acceptor's state on disk
     * @param voting whether it votes; false if its disk may have lost a promise
     * @param now time of this process's monotonic clock, in nanoseconds
     * @param seed of the random election and retry delays, and of the first term
     */
    public CoordinatorCore(Config config, AcceptorState acceptorState, boolean voting, long now, long seed) {
        this.config = config;
        this.voting = voting;
        timing = config.timing();
        random = new SplittableRandom(seed);
        election =
                new LeaderElection(config.name(), config.coordinators().size(), timing, now, random.nextLong() >>> 16);
        leaderClock = new ClockEstimate(timing.maxClockDrift());
        acceptor = new Acceptor(config.name(), acceptorState);
        fleetState = FleetState.fromCommitted(acceptorState.committed());
        nextElectionAt = now + timing.leaderLease() + jitter(timing.leaderLease() / 4);
    }

    /** Enables or disables each safeguard, for tests that show what breaks without it. */
    void setSafeguards(
            boolean awaitLeaseExpiry, boolean confirmLeadership, boolean withholdLeases, boolean requireVotes) {
        commitAwaitsLeaseExpiry = awaitLeaseExpiry;
        confirmsLeadershipFirst = confirmLeadership;
        withholdsLeasesDuringCommit = withholdLeases;
        requiresEveryVote = requireVotes;
    }

    /** Returns the acceptor's state, which must be on disk before any returned effect is executed. */
    public AcceptorState acceptorState() {
        return acceptor.state();
    }

    /**
     * The state that {@link #acceptorState} returned could not be written: returns to the state on disk, and abandons
     * the proposal and the leadership of this coordinator.
     */
    public void rollBack(AcceptorState persistedState) {
        acceptor = new Acceptor(config.name(), persistedState);
        fleetState = FleetState.fromCommitted(persistedState.committed());
        proposer = null;
        election.stepDown();
        leaderReady = false;
    }

    /** Returns the route versions and members as committed. */
    public FleetState fleetState() {
        return fleetState;
    }

    /** Returns the last generation known here to be committed. */
    public long generation() {
        return acceptor.committed().generation();
    }

    /** Whether this coordinator is the leader, knows all committed commands, and may act. */
    public boolean isLeader(long now) {
        return election.isLeader(now) && leaderReady;
    }

    /** Returns when this coordinator's leadership began, by its clock; 0 if it is not the leader. */
    public long leadingSince() {
        return leadingSince;
    }

    /** Returns the leader as far as known here, or null. */
    public String leader(long now) {
        return election.isLeader(now)
                ? config.name()
                : config.name().equals(election.votedFor(now)) ? null : election.votedFor(now);
    }

    /** Returns how many coordinators follow this one, itself included. */
    public int followerCount(long now) {
        return election.followerCount(now);
    }

    // ---- time ----

    /** Does what is due by now. To be called at least every {@link #tickInterval}. */
    public List<Effect> tick(long now) {
        List<Effect> effects = new ArrayList<>();
        expireLeadership(now, effects);
        if (!voting) {
            return effects;
        }
        if (election.isLeader(now)) {
            if (now >= nextHeartbeatAt) {
                nextHeartbeatAt = now + timing.leaderLease() / 4;
                sendHeartbeats(now, effects);
            }
        } else if (electionDeadline > 0 && now >= electionDeadline) {
            // Two concurrent candidates may get half of the other votes each: both release them, and retry
            // after random delays.
            electionDeadline = 0;
            nextElectionAt = now + jitter(timing.leaderLease());
            broadcast(new PeerMessage.VoteRelease(election.abandonElection(now)), effects);
        } else if (electionDeadline == 0 && now >= nextElectionAt && election.canVoteFor(config.name(), now)) {
            electionDeadline = now + timing.leaderLease() / 2;
            long term = election.startElection(now);
            broadcast(new PeerMessage.VoteRequest(term), effects);
            becomeLeaderIfElected(now, effects);
        }
        if (proposer != null && now - proposedAt > timing.leaderLease() / 2 + jitter(timing.leaderLease() / 2)) {
            proposedAt = now;
            sendToAcceptors(proposer.startRound(), now, effects);
        }
        proposeNext(now, effects);
        return effects;
    }

    /** Returns the interval at which {@link #tick} has to be called, in nanoseconds. */
    public long tickInterval() {
        return timing.leaderLease() / 40;
    }

    private long jitter(long span) {
        return span <= 0 ? 0 : random.nextLong(span);
    }

    /**
     * A leader whose lease has expired, for example because its process was suspended, steps down before it
     * does anything else.
     */
    private void expireLeadership(long now, List<Effect> effects) {
        if (leadingSince > 0 && !election.isLeader(now)) {
            leadingSince = 0;
            leaderReady = false;
            proposer = null;
            memberVotes.clear();
            leaseGrantedAt.clear();
            joining.clear();
            leaving.clear();
            nextElectionAt = now + jitter(timing.leaderLease());
            effects.add(new LogEvent("does not lead any more: its authority has run out"));
        }
    }

    private void sendHeartbeats(long now, List<Effect> effects) {
        long sequence = election.nextHeartbeat(now);
        for (String peer : config.coordinators()) {
            if (!peer.equals(config.name())) {
                long[] ack = lastHeartbeatAck.getOrDefault(peer, new long[2]);
                effects.add(new Send(
                        peer,
                        new PeerMessage.Heartbeat(
                                election.term(),
                                sequence,
                                clockId,
                                now + clockOffset,
                                clockError,
                                ack[0],
                                ack[1],
                                generation())));
            }
        }
    }

    // ---- other coordinators ----

    /** Handles a message of another coordinator. */
    public List<Effect> onMessage(long now, String from, PeerMessage message) {
        List<Effect> effects = new ArrayList<>();
        expireLeadership(now, effects);
        if (message instanceof PeerMessage.VoteRequest voteRequest) {
            if (voting && !election.isLeader(now) && election.grantVote(from, voteRequest.term(), now)) {
                nextElectionAt =
                        Math.max(nextElectionAt, now + timing.leaderLease() / 2 + jitter(timing.leaderLease() / 2));
                effects.add(new Send(from, new PeerMessage.VoteGranted(voteRequest.term())));
            }
        } else if (message instanceof PeerMessage.VoteGranted voteGranted) {
            election.onVoteGranted(from, voteGranted.term());
            becomeLeaderIfElected(now, effects);
        } else if (message instanceof PeerMessage.VoteRelease voteRelease) {
            election.releaseVote(from, voteRelease.term(), now);
        } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
            onHeartbeat(now, from, heartbeat, effects);
        } else if (message instanceof PeerMessage.HeartbeatAck heartbeatAck) {
            if (election.onHeartbeatAck(from, heartbeatAck.term(), heartbeatAck.sequence())) {
                lastHeartbeatAck.put(from, new long[] {heartbeatAck.sequence(), now + clockOffset});
            }
            catchUp(from, heartbeatAck.generation(), effects);
        } else if (message instanceof PeerMessage.ConsensusRequest consensusRequest) {
            Reply reply = voting || consensusRequest.message() instanceof Message.Learn
                    ? acceptor.onMessage(consensusRequest.message())
                    : new Reply.Abstained(config.name());
            applyCommitted(now, effects);
            effects.add(new Send(from, new PeerMessage.ConsensusReply(consensusRequest.proposer(), reply)));
        } else if (message instanceof PeerMessage.ConsensusReply consensusReply) {
            if (proposer != null && consensusReply.proposer().equals(proposerName)) {
                sendToAcceptors(proposer.onReply(consensusReply.reply()), now, effects);
            }
            if (consensusReply.reply() instanceof Reply.AlreadyCommitted alreadyCommitted
                    && alreadyCommitted.state().generation() > generation()) {
                acceptor.learn(alreadyCommitted.state());
                applyCommitted(now, effects);
            }
        }
        proposeNext(now, effects);
        return effects;
    }

    private void onHeartbeat(long now, String from, PeerMessage.Heartbeat heartbeat, List<Effect> effects) {
        if (!voting || election.isLeader(now) || !election.grantVote(from, heartbeat.term(), now)) {
            return;
        }
        nextElectionAt = election.voteExpiresAt() + jitter(timing.leaderLease() / 2);
        PeerMessage.Heartbeat previous = lastHeartbeat.put(from, heartbeat);
        Long answeredAt = heartbeatAnsweredAt.get(from);
        // The heartbeat was acknowledged at some moment between its sending and the arrival of the
        // acknowledgement at the leader.
        if (previous != null
                && answeredAt != null
                && previous.term() == heartbeat.term()
                && heartbeat.ackedSequence() == previous.sequence()
                && previous.clockId().equals(heartbeat.clockId())) {
            long midpoint = previous.clockReading() + (heartbeat.ackedAt() - previous.clockReading()) / 2;
            leaderClock.addReading(
                    heartbeat.clockId(),
                    answeredAt,
                    answeredAt,
                    midpoint,
                    (heartbeat.ackedAt() - previous.clockReading()) / 2 + previous.clockError());
        }
        heartbeatAnsweredAt.put(from, now);
        effects.add(new Send(from, new PeerMessage.HeartbeatAck(heartbeat.term(), heartbeat.sequence(), generation())));
        if (heartbeat.generation() < generation()) {
            catchUp(from, heartbeat.generation(), effects);
        }
    }

    /** Sends the committed state to another coordinator if that one knows an earlier one. */
    private void catchUp(String peer, long knownGeneration, List<Effect> effects) {
        if (knownGeneration < generation()) {
            effects.add(new Send(
                    peer, new PeerMessage.ConsensusRequest(config.name(), new Message.Learn(acceptor.committed()))));
        }
    }

    private void broadcast(PeerMessage message, List<Effect> effects) {
        for (String peer : config.coordinators()) {
            if (!peer.equals(config.name())) {
                effects.add(new Send(peer, message));
            }
        }
    }

    private void becomeLeaderIfElected(long now, List<Effect> effects) {
        if (!election.becomeLeaderIfElected(now)) {
            return;
        }
        leadingSince = Math.max(1, now);
        electionDeadline = 0;
        leaderReady = !confirmsLeadershipFirst;
        proposer = null;
        memberVotes.clear();
        leaseGrantedAt.clear();
        lastHeartbeatAck.clear();
        pendingSince = now;
        finalizeAt = Long.MAX_VALUE;
        nextHeartbeatAt = now;
        if (fleetState.pendingVersion() != null
                && fleetState.outcome() != null
                && fleetState.outcome().clockId().equals(leaderClock.clockId())) {
            // The activation time was announced by the former leader's clock: continue that clock, as precisely
            // as it is known.
            clockId = leaderClock.clockId();
            clockOffset = leaderClock.remoteTimeAt(now) - now;
            clockError = leaderClock.errorBound(now);
        } else {
            clockId = config.name() + "/" + config.incarnation() + "/" + election.term();
            clockOffset = 0;
            clockError = 0;
        }
        proposalOpenSince = now;
        effects.add(new LogEvent("leads, followed by " + election.followerCount(now) + " of "
                + config.coordinators().size()));
    }

    // ---- decisions ----

    private String nextCommandId() {
        return config.name() + "/" + config.incarnation() + "/" + ++commandCount;
    }

    private void propose(Command command, long now, List<Effect> effects) {
        proposedCommand = command;
        proposerName = config.name() + "/" + config.incarnation();
        proposer = new Proposer(proposerName, config.coordinators(), acceptor.committed(), command, ++round);
        proposedAt = now;
        sendToAcceptors(proposer.startRound(), now, effects);
    }

    /**
     * Sends a proposer's message to all acceptors, this coordinator's own included, and handles the reply of
     * the latter.
     */
    private void sendToAcceptors(Message message, long now, List<Effect> effects) {
        Message next = message;
        while (next != null) {
            broadcast(new PeerMessage.ConsensusRequest(proposerName, next), effects);
            Reply ownReply = acceptor.onMessage(next);
            round = Math.max(
                    round,
                    next instanceof Message.Prepare prepare ? prepare.ballot().round() : round);
            Proposer activeProposer = proposer;
            next = activeProposer == null ? null : activeProposer.onReply(ownReply);
            applyCommitted(now, effects);
            if (proposer != activeProposer) {
                return;
            }
        }
        if (proposer != null && !(proposer.outcome() instanceof Proposer.Pending)) {
            if (proposer.outcome() instanceof Proposer.Committed
                    && proposedCommand.id().startsWith(LEADERSHIP_COMMAND_PREFIX)) {
                leaderReady = election.isLeader(now);
            }
            proposer = null;
        }
    }

    /** Adopts the state that was committed, by whichever proposer. */
    private void applyCommitted(long now, List<Effect> effects) {
        CommittedState committed = acceptor.committed();
        FleetState updated = FleetState.fromCommitted(committed);
        if (!updated.equals(fleetState)) {
            FleetState previous = fleetState;
            fleetState = updated;
            reportChanges(previous, now, effects);
        }
    }

    private void reportChanges(FleetState previous, long now, List<Effect> effects) {
        if (fleetState.pendingVersion() != null && !fleetState.pendingVersion().equals(previous.pendingVersion())) {
            pendingSince = now;
            effects.add(new LogEvent("version " + fleetState.pendingVersion().number() + " "
                    + fleetState.pendingVersion().sha256() + " is laid before "
                    + fleetState.members().size() + " members"));
        }
        if (fleetState.outcome() != null
                && fleetState.outcome().committed()
                && !fleetState.outcome().equals(previous.outcome())) {
            effects.add(new LogEvent("version " + fleetState.outcome().version() + " is committed for "
                    + fleetState.outcome().activationTime() / 1_000_000 + " ms of clock "
                    + fleetState.outcome().clockId()));
        }
        if (previous.pendingVersion() != null
                && fleetState.pendingVersion() == null
                && fleetState.activeVersion().number()
                        < previous.pendingVersion().number()) {
            boolean reasonsKnown = fleetState.outcome() != null
                    && fleetState.outcome().version()
                            == previous.pendingVersion().number();
            effects.add(new LogEvent("version " + previous.pendingVersion().number() + " is aborted"
                    + (reasonsKnown
                            ? ": " + String.join("; ", fleetState.outcome().reasons())
                            : "")));
        }
        if (fleetState.activeVersion().number() > previous.activeVersion().number()) {
            effects.add(new LogEvent("version " + fleetState.activeVersion().number() + " is in force"));
        }
        for (PendingSubmission submission : List.copyOf(pendingSubmissions)) {
            if (fleetState.submissionIds().contains(submission.submissionId())) {
                pendingSubmissions.remove(submission);
                effects.add(new Submitted(submission.submissionId(), fleetState.lastVersionNumber()));
            }
        }
        if (!fleetState.members().equals(previous.members())) {
            joining.entrySet()
                    .removeIf(
                            join -> join.getValue().equals(fleetState.members().get(join.getKey())));
            leaving.removeIf(member -> !fleetState.members().containsKey(member));
            effects.add(new LogEvent("the roster holds " + fleetState.members().size() + " members"));
        }
    }

    /** Proposes the next command, unless a proposal is in progress. */
    private void proposeNext(long now, List<Effect> effects) {
        if (!voting || proposer != null) {
            return;
        }
        if (!election.isLeader(now)) {
            proposeSubmission(now, effects);
            return;
        }
        if (!acceptor.hasOpenProposal()) {
            proposalOpenSince = now;
        }
        if (!leaderReady || now - proposalOpenSince > timing.leaderLease()) {
            // Completes whatever a former leader, or a coordinator with a submission, left undecided.
            propose(
                    FleetState.leadershipNoOp(config.name(), LEADERSHIP_COMMAND_PREFIX + nextCommandId()),
                    now,
                    effects);
        } else if (!joining.isEmpty() || !leaving.isEmpty()) {
            propose(fleetState.membershipCommand(config.name(), nextCommandId(), joining, leaving), now, effects);
        } else if (fleetState.pendingVersion() == null) {
            proposeSubmission(now, effects);
        } else if (fleetState.outcome() == null) {
            decidePendingVersion(now, effects);
        } else {
            proposeFinalize(now, effects);
        }
    }

    /**
     * Proposes a version that was submitted here, whether or not this coordinator leads; the current leader
     * collects the votes.
     */
    private void proposeSubmission(long now, List<Effect> effects) {
        if (pendingSubmissions.isEmpty() || fleetState.pendingVersion() != null) {
            return;
        }
        PendingSubmission submission = pendingSubmissions.peek();
        propose(
                fleetState.prepareCommand(
                        config.name(),
                        submission.submissionId,
                        submission.sha256,
                        submission.bundle,
                        submission.fileName),
                now,
                effects);
    }

    private void decidePendingVersion(long now, List<Effect> effects) {
        List<String> rejections = new ArrayList<>();
        List<String> missingMembers = new ArrayList<>();
        for (Map.Entry<String, String> member : fleetState.members().entrySet()) {
            MemberVote vote =
                    votedVersion == fleetState.pendingVersion().number() ? memberVotes.get(member.getKey()) : null;
            if (vote == null || !vote.incarnation.equals(member.getValue())) {
                missingMembers.add(member.getKey());
            } else if (!vote.accepts) {
                vote.rejectionReasons.forEach(reason -> rejections.add(member.getKey() + ": " + reason));
            }
        }
        boolean voteTimedOut = now - pendingSince > timing.voteTimeout();
        if (!rejections.isEmpty()
                && (missingMembers.isEmpty() || voteTimedOut || now - pendingSince > timing.memberLease())) {
            propose(fleetState.abortCommand(config.name(), nextCommandId(), rejections), now, effects);
        } else if (missingMembers.isEmpty()
                || !requiresEveryVote && voteTimedOut
                || voteTimedOut && config.missingMemberPolicy() == MissingMemberPolicy.FENCE) {
            proposeCommit(now, effects);
        } else if (voteTimedOut) {
            FleetError error =
                    new FleetError.MissingVotes(fleetState.pendingVersion().number(), missingMembers);
            effects.add(new ReportError(error));
            propose(fleetState.abortCommand(config.name(), nextCommandId(), List.of(error.message())), now, effects);
        }
    }

    /**
     * Chooses an activation time after the expiry of every lease granted so far, by this leader or an earlier
     * one; while the proposal is in progress, no lease is granted.
     */
    private void proposeCommit(long now, List<Effect> effects) {
        long activationTime = now
                + clockOffset
                + (long) (((commitAwaitsLeaseExpiry ? timing.memberLease() : 0) + timing.activationDelay())
                        * (1 + 2 * timing.maxClockDrift()))
                + 2 * clockError;
        propose(fleetState.commitCommand(config.name(), nextCommandId(), clockId, activationTime), now, effects);
    }

    private void proposeFinalize(long now, List<Effect> effects) {
        if (fleetState.outcome().clockId().equals(clockId)) {
            if (now + clockOffset - clockError > fleetState.outcome().activationTime() + timing.activationDelay()) {
                propose(fleetState.finalizeCommand(config.name(), nextCommandId()), now, effects);
            }
            return;
        }
        // The clock of the activation time is lost. That time was set by a bounded margin after the commit was
        // proposed: once that margin has passed, so has the activation time.
        if (finalizeAt == Long.MAX_VALUE) {
            finalizeAt = now
                    + (long) ((timing.memberLease() + 3 * timing.activationDelay()) * (1 + 4 * timing.maxClockDrift()));
        }
        if (now >= finalizeAt) {
            finalizeAt = Long.MAX_VALUE;
            propose(fleetState.finalizeCommand(config.name(), nextCommandId()), now, effects);
        }
    }

    // ---- members ----

    /**
     * Handles a member's call, and answers it from the current state. The call may change what is proposed
     * next, so the owner calls {@link #tick} soon after.
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
        String knownIncarnation = fleetState.members().get(call.member());
        if (call.leaving()) {
            if (call.incarnation().equals(knownIncarnation)) {
                leaving.add(call.member());
            }
        } else if (!call.incarnation().equals(knownIncarnation)) {
            joining.put(call.member(), call.incarnation());
        }
        boolean joined = call.incarnation().equals(knownIncarnation);
        if (joined
                && fleetState.pendingVersion() != null
                && call.votedVersion() == fleetState.pendingVersion().number()) {
            if (votedVersion != call.votedVersion()) {
                votedVersion = call.votedVersion();
                memberVotes.clear();
            }
            memberVotes.put(
                    call.member(),
                    new MemberVote(call.incarnation(), call.prepared(), truncateReasons(call.rejectionReasons())));
        }
        boolean commitUndecided =
                withholdsLeasesDuringCommit && proposer != null && proposedCommand.action() == Command.Action.COMMIT;
        boolean leaseGranted = joined && !commitUndecided;
        if (leaseGranted) {
            leaseGrantedAt.put(call.member(), now);
        }
        return new MemberHeartbeatResponse(
                true,
                config.name(),
                generation(),
                joined,
                leaseGranted,
                timing.usableMemberLease(),
                clockId,
                now + clockOffset,
                clockError,
                fleetState.activeVersion(),
                fleetState.pendingVersion(),
                fleetState.outcome(),
                config.missingMemberPolicy() == MissingMemberPolicy.FENCE);
    }

    private static List<String> truncateReasons(List<String> reasons) {
        return reasons.stream()
                .limit(20)
                .map(reason -> reason.length() > MAX_REASON_LENGTH ? reason.substring(0, MAX_REASON_LENGTH) : reason)
                .toList();
    }

    /** Returns the members that hold a lease of this leader at {@code now}. */
    public Set<String> leaseHolders(long now) {
        Set<String> holders = new HashSet<>();
        leaseGrantedAt.forEach((member, grantedAt) -> {
            if (now - grantedAt < timing.memberLease()) {
                holders.add(member);
            }
        });
        return holders;
    }

    // ---- operators ----

    /** Submits a version; {@code submissionId} identifies this submission permanently. */
    public List<Effect> submit(long now, String submissionId, String fileName, String sha256, String bundle) {
        List<Effect> effects = new ArrayList<>();
        expireLeadership(now, effects);
        if (fleetState.submissionIds().contains(submissionId)) {
            // Prepared before this process started, or by another coordinator.
            effects.add(new Submitted(submissionId, 0));
            return effects;
        }
        if (pendingSubmissions.stream().noneMatch(submission -> submission.submissionId.equals(submissionId))) {
            pendingSubmissions.add(new PendingSubmission(submissionId, fileName, sha256, bundle));
        }
        proposeNext(now, effects);
        return effects;
    }

    /**
     * Removes a member for good, at an operator's request. Only the leader can do so; returns false on any
     * other coordinator.
     */
    public boolean removeMember(long now, String member) {
        if (!isLeader(now)) {
            return false;
        }
        if (fleetState.members().containsKey(member)) {
            leaving.add(member);
        }
        return true;
    }
}

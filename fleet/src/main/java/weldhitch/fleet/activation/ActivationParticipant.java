package weldhitch.fleet.activation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import weldhitch.fleet.error.FleetError;

/**
 * The member's side of the activation of route versions: a state machine whose effects its owner, {@link
 * weldhitch.fleet.member.FleetMember}, carries out. The member serves the versions that {@link #activeVersions}
 * returns. It learns about the fleet only from coordinators' responses and from the times at which it sent the
 * heartbeats that they answer.
 *
 * <p>Two members never decide by different versions at the same time, up to the error of their clocks, for the
 * following reason. A version's activation time lies after the expiry of every lease that was granted before the
 * decision, and a response that grants a later lease carries the decision. A member that has voted uses its old
 * version only until its lease expires, or until the activation time if it knows that time.
 *
 * <p>Free of I/O, clocks and threads. Not thread-safe.
 */
public final class ActivationParticipant {
    /** An action that the owner has to carry out after a call. */
    public sealed interface Effect {}

    /**
     * Fetches this version's bundle, verifies it and builds its table; the owner reports the result with {@link
     * #onPrepared}.
     */
    public record Prepare(RouteVersion version) implements Effect {}

    /** Logs a change that is relevant to operators. */
    public record LogEvent(String message) implements Effect {}

    /** Retains the tables of these versions; those of other versions are no longer needed. */
    public record RetainTables(List<Long> versionNumbers) implements Effect {
        /** Copies the list, so that the record stays immutable. */
        public RetainTables {
            versionNumbers = List.copyOf(versionNumbers);
        }
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;

    private final String memberName;
    private final String incarnation;
    private final double maxClockDrift;
    private final ClockEstimate clockEstimate;
    private final MemberLease lease;
    private boolean leaving;
    private long generation;
    private long lastSwitchErrorBound = Long.MAX_VALUE;
    /** The version in use, or in use until the target version's activation time. */
    private long currentVersion;
    /** The version to switch to; null if there is none. */
    private TargetVersion target;
    /**
     * Whether the target version is already active in the fleet, so that {@code currentVersion} must no longer be
     * used.
     */
    private boolean targetActive;
    /** The response that reported the target version as active; null if none has. */
    private MemberHeartbeatResponse activatingResponse;

    /**
     * Creates a member that has not joined yet and serves its own file, version 0.
     *
     * @param memberName the member's name
     * @param incarnation an identifier that is new with each start of the process
     * @param maxClockDrift fraction by which clocks may run fast or slow
     * @param fenceBeforeJoin whether the member rejects requests until it knows the active version; otherwise it serves
     *     its own file
     */
    public ActivationParticipant(String memberName, String incarnation, double maxClockDrift, boolean fenceBeforeJoin) {
        this.memberName = memberName;
        this.incarnation = incarnation;
        this.maxClockDrift = maxClockDrift;
        clockEstimate = new ClockEstimate(maxClockDrift);
        lease = new MemberLease(fenceBeforeJoin);
    }

    /** Returns the heartbeat to send now. The call casts the member's vote, whether or not the heartbeat arrives. */
    public MemberHeartbeat heartbeat(long now) {
        applyReachedSwitch(now);
        boolean castsVote =
                lease.isJoined() && target != null && !target.isCommitted() && !targetActive && target.isReadyToVote();
        if (castsVote && target.isPrepared() && !target.isVoted()) {
            target.recordVote();
            // A decision that depends on this vote is made after the vote was sent, and its activation time is at
            // least a full lease later: until then the member needs no further message.
            lease.extendUndecided(now);
        }
        return new MemberHeartbeat(
                memberName,
                incarnation,
                generation,
                castsVote ? target.number() : 0,
                castsVote && target.isPrepared(),
                castsVote ? target.rejectionReasons() : List.of(),
                leaving);
    }

    /** Marks the member as shutting down, which all further heartbeats report. */
    public void startLeaving() {
        leaving = true;
    }

    /**
     * Handles the response to a heartbeat sent at {@code sentAt}. Ignores responses of an older generation than the
     * latest one.
     */
    public List<Effect> onResponse(long sentAt, long now, MemberHeartbeatResponse response) {
        List<Effect> effects = new ArrayList<>();
        applyReachedSwitch(now);
        if (response.generation() < generation) {
            return effects;
        }
        if (response.fromLeader()) {
            onLeaderResponse(sentAt, now, response, effects);
        } else {
            onFollowerResponse(now, response, effects);
        }
        return effects;
    }

    /**
     * Applies a decision on the target version. A decision is final whichever coordinator reports it, so a leader that
     * fails after its decision leaves no member in doubt. The rest of a follower's response is ignored.
     */
    private void onFollowerResponse(long now, MemberHeartbeatResponse response, List<Effect> effects) {
        if (target == null || targetActive || !decidesTarget(response)) {
            return;
        }
        if (response.outcome().committed()) {
            onDecision(response.outcome(), now, effects);
        } else {
            dropTarget(effects, abortedBy(response.outcome()));
        }
    }

    private void onLeaderResponse(long sentAt, long now, MemberHeartbeatResponse response, List<Effect> effects) {
        generation = response.generation();
        clockEstimate.addReading(response.clockId(), sentAt, now, response.clockReading(), response.clockError());
        lease.updateTerms(response.leaseRequired(), response.leaseDuration());
        if (!response.joined()) {
            return;
        }
        if (!lease.isJoined()) {
            lease.join();
            effects.add(new LogEvent(
                    "joined fleet activeVersion=" + response.activeVersion().number()));
        }
        if (response.leaseGranted()) {
            lease.extend(sentAt);
            if (response.outcome() == null || !response.outcome().committed()) {
                lease.extendUndecided(sentAt);
            }
        }
        if (isNewActiveVersion(response.activeVersion())) {
            targetActive = true;
            activatingResponse = response;
            setTarget(response.activeVersion(), effects);
            if (target.isPrepared()) {
                activateTarget(now, effects);
            }
            return;
        }
        updatePending(response, now, effects);
    }

    private boolean isNewActiveVersion(RouteVersion activeVersion) {
        return activeVersion.number() > currentVersion && (target == null || target.number() <= activeVersion.number());
    }

    /** Returns whether a response reports the outcome of the target version, which must not be null. */
    private boolean decidesTarget(MemberHeartbeatResponse response) {
        return response.outcome() != null && response.outcome().version() == target.number();
    }

    private void updatePending(MemberHeartbeatResponse response, long now, List<Effect> effects) {
        if (response.pendingVersion() != null && response.pendingVersion().number() > currentVersion) {
            setTarget(response.pendingVersion(), effects);
            onDecision(response.outcome(), now, effects);
        } else if (target != null && !targetActive && response.pendingVersion() == null) {
            dropTarget(effects, decidesTarget(response) ? abortedBy(response.outcome()) : "no longer pending");
        }
    }

    private static String abortedBy(ActivationOutcome outcome) {
        return "aborted: " + String.join("; ", outcome.reasons());
    }

    /** Sets the target version; does nothing if this is the target version already. */
    private void setTarget(RouteVersion version, List<Effect> effects) {
        if (target != null && target.version().equals(version)) {
            return;
        }
        target = new TargetVersion(version);
        effects.add(new RetainTables(List.of(currentVersion, version.number())));
        effects.add(new Prepare(version));
    }

    /** Applies a decision to the target version if it commits that version; otherwise, or if null, does nothing. */
    private void onDecision(ActivationOutcome decision, long now, List<Effect> effects) {
        if (decision == null || !decision.committed() || decision.version() != target.number()) {
            return;
        }
        boolean firstNotice = target.recordCommit(decision);
        refineSchedule(decision, now);
        if (firstNotice) {
            logCommit(now, effects);
        }
        applyReachedSwitch(now);
    }

    private void refineSchedule(ActivationOutcome decision, long now) {
        if (!decision.clockId().equals(clockEstimate.clockId())) {
            return;
        }
        long localActivationTime = clockEstimate.toLocalTime(decision.activationTime());
        long errorBound =
                clockEstimate.errorBound(now) + (long) (2 * maxClockDrift * Math.max(0, localActivationTime - now));
        if (target.schedule().refine(localActivationTime, errorBound, now)) {
            lastSwitchErrorBound = Math.min(errorBound, SwitchSchedule.MAX_CLOCK_ERROR);
        }
    }

    private void logCommit(long now, List<Effect> effects) {
        SwitchSchedule schedule = target.schedule();
        if (schedule.isTooImprecise()) {
            effects.add(new LogEvent(new FleetError.ClockErrorTooLarge(
                            memberName,
                            schedule.errorBound() / NANOS_PER_MILLI,
                            SwitchSchedule.MAX_CLOCK_ERROR / NANOS_PER_MILLI)
                    .message()));
        }
        String delay = schedule.isKnown() ? (schedule.switchAt() - now) / NANOS_PER_MILLI + " ms" : "unknown time";
        String clockError = schedule.isKnown() ? schedule.errorBound() / NANOS_PER_MICRO + " us" : "unknown";
        effects.add(
                new LogEvent("version " + target.number() + " activates in " + delay + ", clock error " + clockError));
    }

    private void dropTarget(List<Effect> effects, String reason) {
        effects.add(new LogEvent("version " + target.number() + " " + reason));
        target = null;
        effects.add(new RetainTables(List.of(currentVersion)));
    }

    /**
     * Handles the result of preparing a version.
     *
     * @param errors why the version's table cannot be built, one per line; empty if it is built
     */
    public List<Effect> onPrepared(long now, long versionNumber, List<String> errors) {
        List<Effect> effects = new ArrayList<>();
        applyReachedSwitch(now);
        if (target == null || target.number() != versionNumber || target.isPrepared()) {
            return effects;
        }
        target.recordPreparation(errors);
        effects.add(new LogEvent("version " + versionNumber
                + (target.isPrepared() ? " is prepared" : " rejected: " + String.join("; ", errors))));
        if (target.isPrepared() && targetActive) {
            activateTarget(now, effects);
        }
        applyReachedSwitch(now);
        return effects;
    }

    /** Switches to the target version, which is already active in the fleet. */
    private void activateTarget(long now, List<Effect> effects) {
        currentVersion = target.number();
        target = null;
        targetActive = false;
        effects.add(new RetainTables(List.of(currentVersion)));
        effects.add(new LogEvent("version " + currentVersion + " is active"));
        if (activatingResponse != null) {
            // The same response may contain the next version, possibly with its outcome.
            updatePending(activatingResponse, now, effects);
        }
        activatingResponse = null;
    }

    /** Makes a prepared and committed version the current one once its activation time has passed. */
    private void applyReachedSwitch(long now) {
        if (target != null && target.isSwitchReached(now)) {
            currentVersion = target.number();
            target = null;
        }
    }

    /** Returns the versions to serve from {@code now} on, valid even if no further messages arrive. */
    public ActiveVersions activeVersions(long now) {
        applyReachedSwitch(now);
        if (targetActive) {
            return currentVersionOnly(Long.MIN_VALUE);
        }
        long fencedFrom = lease.fencedFrom();
        if (target == null) {
            return currentVersionOnly(fencedFrom);
        }
        return target.isCommitted() ? committedVersions(fencedFrom) : undecidedVersions(fencedFrom);
    }

    private ActiveVersions currentVersionOnly(long fencedFrom) {
        return new ActiveVersions(currentVersion, null, Long.MAX_VALUE, Long.MAX_VALUE, fencedFrom);
    }

    private ActiveVersions committedVersions(long fencedFrom) {
        SwitchSchedule schedule = target.schedule();
        // Without a known activation time the member is in doubt once its lease has expired.
        long uncertainFrom = schedule.uncertainFrom(lease.undecidedUntil());
        if (!target.isPrepared()) {
            // The version is committed but cannot be served here: the member joined late, or is still
            // fetching the bundle.
            return currentVersionOnly(Math.min(fencedFrom, Math.min(schedule.switchAt(), uncertainFrom)));
        }
        return new ActiveVersions(currentVersion, target.number(), schedule.activatesAt(), uncertainFrom, fencedFrom);
    }

    private ActiveVersions undecidedVersions(long fencedFrom) {
        return new ActiveVersions(
                currentVersion,
                target.isPrepared() ? target.number() : null,
                Long.MAX_VALUE,
                target.isVoted() ? lease.undecidedUntil() : Long.MAX_VALUE,
                fencedFrom);
    }

    /** Returns whether the member is registered according to the latest response. */
    public boolean joined() {
        return lease.isJoined();
    }

    /** Returns the generation of the latest decision that the member knows. */
    public long generation() {
        return generation;
    }

    /** Returns the version whose table has to be built; empty if there is none. */
    public Optional<RouteVersion> versionToPrepare() {
        return target == null || target.isPrepared() ? Optional.empty() : Optional.of(target.version());
    }

    /**
     * Returns the maximum error of the last activation time at this member, in nanoseconds; {@link Long#MAX_VALUE}
     * before the first activation.
     */
    public long lastSwitchErrorBound() {
        return lastSwitchErrorBound;
    }
}

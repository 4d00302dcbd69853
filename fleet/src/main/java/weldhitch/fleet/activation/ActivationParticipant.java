package weldhitch.fleet.activation;

import java.util.ArrayList;
import java.util.List;
import weldhitch.fleet.error.FleetError;

/**
 * A member's part in the activation of route versions: a state machine whose effects its owner, {@link
 * weldhitch.fleet.member.FleetMember}, carries out. The member serves by {@link #activeVersions}; its knowledge
 * comes only from coordinators' responses and from when it sent the heartbeats that they answer.
 *
 * <p>Why two members never decide by different versions at the same time, up to the error of their clocks: a
 * version's activation time lies after the expiry of every lease that was granted before the decision, and a
 * lease granted later carries the decision. A member that has voted uses its old version only until its lease
 * expires, or until the activation time if it knows that.
 *
 * <p>Free of I/O, clocks and threads. Not thread-safe.
 */
public final class ActivationParticipant {
    /** What the owner has to do after a call. */
    public sealed interface Effect {}

    /**
     * Fetch this version's bundle, check it, build its table, and report the result by {@link #onPrepared}.
     */
    public record Prepare(RouteVersion version) implements Effect {}

    /** Log a change that operators care about. */
    public record LogEvent(String message) implements Effect {}

    /** Tables of versions other than these are no longer needed. */
    public record RetainTables(List<Long> versionNumbers) implements Effect {
        /** Copies the list, so that the record stays immutable. */
        public RetainTables {
            versionNumbers = List.copyOf(versionNumbers);
        }
    }

    /**
     * The largest error, in nanoseconds, with which the activation time may be known here. With a larger
     * error a member rejects requests on which the versions differ for as long as the switch may or may not
     * have happened, and takes the new version when it surely has.
     */
    public static final long MAX_CLOCK_ERROR = 50_000_000L;

    private final String memberName;
    private final String incarnation;
    private final double maxClockDrift;
    /** How long a lease may be used here, as the leader says. */
    private long leaseDuration;

    private final boolean fenceBeforeJoin;
    private final ClockEstimate clockEstimate;
    private boolean joined;
    private boolean leaving;
    private boolean leaseRequired;
    private long generation;
    private long leaseExpiresAt = Long.MIN_VALUE;
    /** Until when no version can have been decided without this member knowing it. */
    private long undecidedUntil = Long.MIN_VALUE;
    /** The version in use, or in use until {@code switchAt}. */
    private long currentVersion;

    private RouteVersion targetVersion;
    private boolean targetPrepared;
    private List<String> rejectionReasons = List.of();
    private boolean voted;
    private ActivationOutcome outcome;
    private long switchAt = Long.MAX_VALUE;
    private long switchErrorBound = Long.MAX_VALUE;
    private long lastSwitchErrorBound = Long.MAX_VALUE;
    /**
     * Whether the target version is active already, so that {@code currentVersion} must not be used any more.
     */
    private boolean targetActive;
    /** The response that reported the target version as active. */
    private MemberHeartbeatResponse activatingResponse;

    /**
     * Creates a member that has not joined yet and serves by its own file, version 0.
     *
     * @param memberName the member's name
     * @param incarnation new with each start of the process
     * @param maxClockDrift fraction by which clocks may run fast or slow
     * @param fenceBeforeJoin whether it rejects requests until it knows the active version; otherwise it
     *     serves by its own file
     */
    public ActivationParticipant(String memberName, String incarnation, double maxClockDrift, boolean fenceBeforeJoin) {
        this.memberName = memberName;
        this.incarnation = incarnation;
        this.maxClockDrift = maxClockDrift;
        this.fenceBeforeJoin = fenceBeforeJoin;
        clockEstimate = new ClockEstimate(maxClockDrift);
    }

    /** The heartbeat to send now. This casts the member's vote, whether the heartbeat arrives or not. */
    public MemberHeartbeat heartbeat(long now) {
        applyReachedSwitch(now);
        boolean castsVote = joined
                && targetVersion != null
                && outcome == null
                && !targetActive
                && (targetPrepared || !rejectionReasons.isEmpty());
        if (castsVote && targetPrepared && !voted) {
            voted = true;
            // A decision that waits for this vote is made after it was sent, and its activation time leaves a
            // full lease after that: until then the member needs no further message.
            undecidedUntil = Math.max(undecidedUntil, now + leaseDuration);
        }
        return new MemberHeartbeat(
                memberName,
                incarnation,
                generation,
                castsVote ? targetVersion.number() : 0,
                castsVote && targetPrepared,
                castsVote ? rejectionReasons : List.of(),
                leaving);
    }

    /** Marks the member as shutting down: further heartbeats say so. */
    public void startLeaving() {
        leaving = true;
    }

    /**
     * Handles the response to a heartbeat sent at {@code sentAt}; of a follower's response only a decision
     * counts.
     */
    public List<Effect> onResponse(long sentAt, long now, MemberHeartbeatResponse response) {
        List<Effect> effects = new ArrayList<>();
        applyReachedSwitch(now);
        if (response.generation() < generation) {
            return effects;
        }
        if (!response.fromLeader()) {
            // A decision is final, whichever coordinator reports it: a leader that dies after its decision
            // leaves no member in doubt.
            if (targetVersion != null
                    && !targetActive
                    && response.outcome() != null
                    && response.outcome().version() == targetVersion.number()) {
                if (response.outcome().committed()) {
                    onDecision(response.outcome(), now, effects);
                } else {
                    dropTarget(
                            effects,
                            "is given up: "
                                    + String.join("; ", response.outcome().reasons()));
                }
            }
            return effects;
        }
        generation = response.generation();
        clockEstimate.addReading(response.clockId(), sentAt, now, response.clockReading(), response.clockError());
        leaseRequired = response.leaseRequired();
        leaseDuration = response.leaseDuration();
        if (!response.joined()) {
            return effects;
        }
        if (!joined) {
            joined = true;
            effects.add(
                    new LogEvent("joined; version " + response.activeVersion().number() + " is in force"));
        }
        if (response.leaseGranted()) {
            leaseExpiresAt = Math.max(leaseExpiresAt, sentAt + leaseDuration);
            if (response.outcome() == null || !response.outcome().committed()) {
                undecidedUntil = Math.max(undecidedUntil, sentAt + leaseDuration);
            }
        }
        if (response.activeVersion().number() > currentVersion
                && (targetVersion == null
                        || targetVersion.number() <= response.activeVersion().number())) {
            targetActive = true;
            activatingResponse = response;
            setTarget(response.activeVersion(), effects);
            if (targetPrepared) {
                activateTarget(now, effects);
            }
            return effects;
        }
        updatePending(response, now, effects);
        return effects;
    }

    private void updatePending(MemberHeartbeatResponse response, long now, List<Effect> effects) {
        if (response.pendingVersion() != null && response.pendingVersion().number() > currentVersion) {
            setTarget(response.pendingVersion(), effects);
            onDecision(response.outcome(), now, effects);
        } else if (targetVersion != null && !targetActive && response.pendingVersion() == null) {
            boolean decidedForTarget =
                    response.outcome() != null && response.outcome().version() == targetVersion.number();
            dropTarget(
                    effects,
                    decidedForTarget
                            ? "is given up: "
                                    + String.join("; ", response.outcome().reasons())
                            : "is not pending any more");
        }
    }

    /** Makes this the target version; does nothing if it is already. */
    private void setTarget(RouteVersion version, List<Effect> effects) {
        if (targetVersion != null && targetVersion.equals(version)) {
            return;
        }
        clearTarget();
        targetVersion = version;
        effects.add(new RetainTables(List.of(currentVersion, version.number())));
        effects.add(new Prepare(version));
    }

    private void clearTarget() {
        targetVersion = null;
        targetPrepared = false;
        rejectionReasons = List.of();
        voted = false;
        outcome = null;
        switchAt = Long.MAX_VALUE;
        switchErrorBound = Long.MAX_VALUE;
    }

    private void onDecision(ActivationOutcome decision, long now, List<Effect> effects) {
        if (decision == null || !decision.committed() || decision.version() != targetVersion.number()) {
            return;
        }
        boolean firstNotice = outcome == null;
        outcome = decision;
        if (decision.clockId().equals(clockEstimate.clockId())) {
            long localActivationTime = clockEstimate.toLocalTime(decision.activationTime());
            long errorBound =
                    clockEstimate.errorBound(now) + (long) (2 * maxClockDrift * Math.max(0, localActivationTime - now));
            // Once the activation time has passed it is no longer moved.
            if (errorBound < switchErrorBound && now < activatesAt()) {
                switchErrorBound = errorBound;
                switchAt = localActivationTime;
                lastSwitchErrorBound = Math.min(errorBound, MAX_CLOCK_ERROR);
            }
        }
        if (firstNotice && switchErrorBound != Long.MAX_VALUE && switchErrorBound > MAX_CLOCK_ERROR) {
            effects.add(new LogEvent(new FleetError.ClockErrorTooLarge(
                            memberName, switchErrorBound / 1_000_000, MAX_CLOCK_ERROR / 1_000_000)
                    .message()));
        }
        if (firstNotice) {
            effects.add(new LogEvent("version " + targetVersion.number() + " takes effect in "
                    + (switchAt == Long.MAX_VALUE ? "?" : (switchAt - now) / 1_000_000 + " ms") + ", clocks known to "
                    + (switchErrorBound == Long.MAX_VALUE ? "?" : switchErrorBound / 1000 + " us")));
        }
        applyReachedSwitch(now);
    }

    private void dropTarget(List<Effect> effects, String reason) {
        effects.add(new LogEvent("version " + targetVersion.number() + " " + reason));
        clearTarget();
        effects.add(new RetainTables(List.of(currentVersion)));
    }

    /**
     * The table of a version is built, or cannot be built.
     *
     * @param errors why it cannot be built, a line each; empty on success
     */
    public List<Effect> onPrepared(long now, long versionNumber, List<String> errors) {
        List<Effect> effects = new ArrayList<>();
        applyReachedSwitch(now);
        if (targetVersion == null || targetVersion.number() != versionNumber || targetPrepared) {
            return effects;
        }
        rejectionReasons = List.copyOf(errors);
        targetPrepared = errors.isEmpty();
        effects.add(new LogEvent("version " + versionNumber
                + (targetPrepared ? " is prepared" : " is refused: " + String.join("; ", errors))));
        if (targetPrepared && targetActive) {
            activateTarget(now, effects);
        }
        applyReachedSwitch(now);
        return effects;
    }

    /** Switches to the target version, which is already active in the fleet. */
    private void activateTarget(long now, List<Effect> effects) {
        currentVersion = targetVersion.number();
        clearTarget();
        targetActive = false;
        effects.add(new RetainTables(List.of(currentVersion)));
        effects.add(new LogEvent("version " + currentVersion + " is in force here"));
        if (activatingResponse != null) {
            // The same response may carry the next version, which may be decided already.
            updatePending(activatingResponse, now, effects);
        }
        activatingResponse = null;
    }

    /**
     * When this member switches: at the activation time, or once that has surely passed if it is not known
     * well enough.
     */
    private long activatesAt() {
        return switchAt == Long.MAX_VALUE || switchErrorBound <= MAX_CLOCK_ERROR
                ? switchAt
                : switchAt + switchErrorBound;
    }

    /**
     * From when on the activation time may have passed, if it is not known well enough; {@link
     * Long#MAX_VALUE} if it is.
     */
    private long switchUncertainFrom() {
        return switchAt == Long.MAX_VALUE
                ? undecidedUntil
                : switchErrorBound <= MAX_CLOCK_ERROR ? Long.MAX_VALUE : switchAt - switchErrorBound;
    }

    /** Makes a prepared and committed version the current one once its activation time has passed. */
    private void applyReachedSwitch(long now) {
        if (targetVersion != null && targetPrepared && outcome != null && now >= activatesAt()) {
            currentVersion = targetVersion.number();
            clearTarget();
        }
    }

    /** The versions to serve by from {@code now} on, valid without further messages. */
    public ActiveVersions activeVersions(long now) {
        applyReachedSwitch(now);
        long fencedFrom = Long.MAX_VALUE;
        if (!joined && fenceBeforeJoin || targetActive) {
            fencedFrom = Long.MIN_VALUE;
        } else if (joined && leaseRequired) {
            fencedFrom = leaseExpiresAt;
        }
        if (targetVersion == null || targetActive) {
            return new ActiveVersions(currentVersion, null, Long.MAX_VALUE, Long.MAX_VALUE, fencedFrom);
        }
        if (outcome != null) {
            if (!targetPrepared) {
                // The version is committed but cannot be served here: the member joined late, or is still
                // fetching the bundle.
                return new ActiveVersions(
                        currentVersion,
                        null,
                        Long.MAX_VALUE,
                        Long.MAX_VALUE,
                        Math.min(fencedFrom, Math.min(switchAt, switchUncertainFrom())));
            }
            // Without a known activation time the member is in doubt once its lease has expired.
            return new ActiveVersions(
                    currentVersion, targetVersion.number(), activatesAt(), switchUncertainFrom(), fencedFrom);
        }
        return new ActiveVersions(
                currentVersion,
                targetPrepared ? targetVersion.number() : null,
                Long.MAX_VALUE,
                voted ? undecidedUntil : Long.MAX_VALUE,
                fencedFrom);
    }

    /** Whether the member is registered, according to the latest response. */
    public boolean joined() {
        return joined;
    }

    /** The generation of the latest decision that the member knows. */
    public long generation() {
        return generation;
    }

    /** The version whose table has to be built, or null. */
    public RouteVersion versionToPrepare() {
        return targetPrepared ? null : targetVersion;
    }

    /**
     * By how much the time of the last switch may be wrong here, in nanoseconds; {@link Long#MAX_VALUE}
     * before the first.
     */
    public long lastSwitchErrorBound() {
        return lastSwitchErrorBound;
    }
}

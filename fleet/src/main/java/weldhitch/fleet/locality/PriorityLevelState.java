package weldhitch.fleet.locality;

import weldhitch.fleet.locality.LocalityRule.SpillPolicy;

/**
 * Tracks whether one priority level of a rule is short of capacity, and what fraction of its requests spills over to
 * the next level. The fraction grows while the level is past its upper threshold, falls while it is below its lower
 * threshold, and stays constant in between, so that it is stable while the spillover is just enough. If a level has no
 * responding endpoint, all its requests spill over at once, and return gradually. Owned by {@link Spillover}; not
 * thread-safe.
 */
final class PriorityLevelState {
    private static final double NANOS_PER_SECOND = 1e9;
    /** A level whose healthy fraction is below this counts as one without a responding endpoint. */
    static final double MIN_HEALTHY_FRACTION = 0.02;

    private final SpillPolicy policy;
    private boolean spilling;
    private boolean unavailable;
    /**
     * 1 if the level is unavailable or past any {@code begin} threshold, -1 if it is past all {@code end} thresholds,
     * otherwise 0.
     */
    private int trend;

    private long changedAt;
    private double spillFraction;
    private long updatedAt;
    private int transitions;

    /** Creates the state of a level that is not short of capacity and may change at once. */
    PriorityLevelState(SpillPolicy policy, long now) {
        this.policy = policy;
        changedAt = now - policy.dwell();
        updatedAt = now;
    }

    /** Applies the present view of the level. */
    void update(ZoneView view, long now) {
        advanceTo(now);
        unavailable = view.healthyFraction() < MIN_HEALTHY_FRACTION;
        boolean overThreshold = unavailable
                || view.utilization() >= policy.utilization().begin()
                || view.healthyFraction() < policy.healthyFraction().begin()
                || view.lateFraction() >= policy.lateFraction().begin();
        boolean underThreshold = view.utilization() < policy.utilization().end()
                && view.healthyFraction() >= policy.healthyFraction().end()
                && view.lateFraction() < policy.lateFraction().end();
        trend = overThreshold ? 1 : underThreshold ? -1 : 0;
        if (unavailable) {
            spillFraction = 1;
        }
        // The loss of all endpoints does not depend on thresholds, so the state cannot flap and need not wait for
        // the dwell time.
        boolean mayChange = now - changedAt >= policy.dwell() || unavailable;
        boolean nextSpilling = spilling ? trend >= 0 || spillFraction > 0 : overThreshold;
        if (nextSpilling != spilling && mayChange) {
            spilling = nextSpilling;
            changedAt = now;
            transitions++;
        }
    }

    private void advanceTo(long now) {
        double delta = policy.growthPerSecond() * Math.max(0, now - updatedAt) / NANOS_PER_SECOND;
        updatedAt = Math.max(updatedAt, now);
        if (unavailable) {
            spillFraction = 1;
        } else if (!spilling || trend < 0 || spillFraction > policy.maxFraction()) {
            spillFraction = Math.max(0, spillFraction - delta);
        } else if (trend > 0) {
            spillFraction = Math.min(policy.maxFraction(), spillFraction + delta);
        }
    }

    /** Returns whether the level is short of capacity, so that it spills over. */
    boolean isSpilling() {
        return spilling;
    }

    /** Returns whether the level has no responding endpoint. */
    boolean isUnavailable() {
        return unavailable;
    }

    /** Returns the fraction of requests that spills over to the next level, before quota grants limit it. */
    double spillFraction(long now) {
        advanceTo(now);
        return spillFraction;
    }

    /** Returns how often the level has become short of capacity or ceased to be. */
    int transitions() {
        return transitions;
    }
}

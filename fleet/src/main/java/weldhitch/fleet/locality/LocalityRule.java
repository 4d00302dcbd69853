package weldhitch.fleet.locality;

import java.util.List;
import java.util.Set;

/**
 * Determines which zones requests go to first, and where they spill over to when those are short of capacity.
 * Immutable.
 *
 * @param name name of the rule in log lines
 * @param match the requests that the rule applies to
 * @param preferences priority levels in order: {@link #OWN_ZONE}, {@link #OWN_REGION}, {@link #ANY}, or the name of a
 *     region
 * @param forbidden zones and regions that a matching request is never sent to, even if it has to be rejected instead
 * @param spillPolicy when and how much spills over to the next priority level
 * @param panic whether requests go to all zones that the rule permits if the first priority level has no responding
 *     endpoint and there is no token for another level; otherwise these requests are rejected. If levels are only
 *     short of capacity, the first level receives the requests that get no token
 */
public record LocalityRule(
        String name,
        Match match,
        List<String> preferences,
        Set<String> forbidden,
        SpillPolicy spillPolicy,
        boolean panic) {
    /** The priority level of the node's own zone. */
    public static final String OWN_ZONE = "own-zone";
    /** The priority level of the zones of the node's region. */
    public static final String OWN_REGION = "own-region";
    /** The priority level of all zones. */
    public static final String ANY = "any";

    /** Copies the collections, so that the record stays immutable, and requires at least one priority level. */
    public LocalityRule {
        preferences = List.copyOf(preferences);
        forbidden = Set.copyOf(forbidden);
        if (preferences.isEmpty()) {
            throw new IllegalArgumentException("preferences must not be empty");
        }
    }

    /** Matches the requests of a class, tenant and route; null matches any. Immutable. */
    public record Match(String requestClass, String tenant, String route) {
        /** Matches all requests. */
        public static final Match ALL = new Match(null, null, null);

        boolean matches(String candidateClass, String candidateTenant, String candidateRoute) {
            return (requestClass == null || requestClass.equals(candidateClass))
                    && (tenant == null || tenant.equals(candidateTenant))
                    && (route == null || route.equals(candidateRoute));
        }
    }

    /**
     * Thresholds with hysteresis: a priority level becomes short of capacity at {@code begin} and stops being short of
     * capacity past {@code end}. The two differ so that the state does not flap. Immutable.
     */
    public record HysteresisBand(double begin, double end) {}

    /**
     * Determines when and how much a priority level spills over. Immutable.
     *
     * @param utilization utilization as a fraction of the capacity of the level's healthy endpoints, 0 to 1: short of
     *     capacity from {@code begin} on, no longer below {@code end}
     * @param healthyFraction healthy fraction of the weight of the level's endpoints, 0 to 1: short of capacity below
     *     {@code begin}, no longer from {@code end} on
     * @param lateFraction fraction of the level's attempts that were late or rejected, 0 to 1: short of capacity from
     *     {@code begin} on, no longer below {@code end}
     * @param dwell the minimum time between two changes of whether a level is short of capacity, in nanoseconds
     * @param maxFraction largest fraction of the rule's requests that may spill over to the next level, 0 to 1; does
     *     not apply to a level without a responding endpoint, from which all requests spill over
     * @param growthPerSecond change of the spilled fraction per second, when it grows or falls
     * @param uncoordinatedFraction the largest fraction that may spill over without a view from the coordinators; at
     *     most {@code maxFraction}
     */
    public record SpillPolicy(
            HysteresisBand utilization,
            HysteresisBand healthyFraction,
            HysteresisBand lateFraction,
            long dwell,
            double maxFraction,
            double growthPerSecond,
            double uncoordinatedFraction) {
        /** Rejects values out of range, and bands whose thresholds are not apart. */
        public SpillPolicy {
            require(utilization.begin > 0 && utilization.begin <= 1, "use.begin must be above 0 and at most 1");
            require(utilization.end >= 0 && utilization.end < utilization.begin, "use.end must be below use.begin");
            require(healthyFraction.begin >= 0 && healthyFraction.begin < 1, "healthy.begin must be from 0 to below 1");
            require(
                    healthyFraction.end > healthyFraction.begin && healthyFraction.end <= 1,
                    "healthy.end must be above healthy.begin and at most 1");
            require(lateFraction.begin > 0 && lateFraction.begin <= 1, "late.begin must be above 0 and at most 1");
            require(
                    lateFraction.end >= 0 && lateFraction.end < lateFraction.begin,
                    "late.end must be below late.begin");
            require(dwell > 0, "dwell must be above 0");
            require(
                    maxFraction > 0 && maxFraction <= 1 && growthPerSecond > 0,
                    "most must be above 0 and at most 1, growth above 0");
            require(uncoordinatedFraction >= 0 && uncoordinatedFraction <= maxFraction, "alone must be from 0 to most");
        }

        private static void require(boolean valid, String requirement) {
            if (!valid) {
                throw new IllegalArgumentException("invalid spill policy: " + requirement);
            }
        }
    }
}

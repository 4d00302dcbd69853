package weldhitch.fleet.locality;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * One node's state for one rule, which selects the priority level of each request. Requests beyond the first level are
 * limited by quota grants, with one token per request. Without a view from the coordinators, they are limited to a
 * smaller fraction that the rule sets. Owned by {@link ZoneSelector}; not thread-safe.
 */
final class Spillover {
    /** Factor by which the requested quota exceeds the average demand, because requests come in bursts. */
    private static final double DEMAND_MARGIN = 1.1;

    /** Calls per second below which no quota is requested. */
    private static final double MIN_DEMAND = 0.01;
    /** Keeps the division finite when all requests spill over. */
    private static final double MIN_DIVISOR = 1e-12;

    /**
     * A priority level with its state.
     *
     * @param zones the zones of the level
     * @param zoneList the same zones as a list, for requests that may go to all of them
     */
    private record PriorityLevel(Set<String> zones, List<String> zoneList, PriorityLevelState state) {}

    private final LocalityRule rule;
    private final SpillTokens spillTokens;
    private final DecayingRate arrivalRate = new DecayingRate();
    private List<PriorityLevel> levels = List.of();
    private Map<String, ZoneView> zoneViews = Map.of();
    /** Whether the coordinators currently grant quotas. */
    private boolean coordinated;

    /**
     * Credit for spilling over without a quota grant, at most 1: grows with each request, and a request that spills
     * over costs 1.
     */
    private double uncoordinatedCredit;

    /**
     * Creates the state.
     *
     * @param priorityLevels the rule's priority levels as seen from this node ({@link Regions#priorityLevels})
     */
    Spillover(LocalityRule rule, List<Set<String>> priorityLevels, SpillTokens spillTokens, long now) {
        this.rule = rule;
        this.spillTokens = spillTokens;
        updatePriorityLevels(priorityLevels, now);
    }

    /** Returns the rule. */
    LocalityRule rule() {
        return rule;
    }

    /**
     * Replaces the priority levels after zones were added or removed; a level whose zones remain keeps its state.
     */
    final void updatePriorityLevels(List<Set<String>> newLevels, long now) {
        if (newLevels.equals(levels.stream().map(PriorityLevel::zones).toList())) {
            return;
        }
        List<PriorityLevel> replaced = new ArrayList<>();
        for (Set<String> zones : newLevels) {
            replaced.add(new PriorityLevel(zones, List.copyOf(zones), retainedState(zones, now)));
        }
        levels = replaced;
    }

    private PriorityLevelState retainedState(Set<String> zones, long now) {
        return levels.stream()
                .filter(level -> level.zones.equals(zones))
                .findFirst()
                .map(PriorityLevel::state)
                .orElseGet(() -> new PriorityLevelState(rule.spillPolicy(), now));
    }

    /**
     * Applies the present views of zones.
     *
     * @param hasCoordinators whether the coordinators currently grant quotas
     */
    void updateViews(Map<String, ZoneView> newViews, boolean hasCoordinators, long now) {
        zoneViews = newViews;
        coordinated = hasCoordinators;
        for (PriorityLevel level : levels) {
            level.state.update(levelView(level.zones), now);
        }
    }

    /**
     * Returns the combined view of a priority level's zones. A level without any known zone, because no list has named
     * an endpoint of it, counts as unavailable.
     */
    private ZoneView levelView(Set<String> zones) {
        double capacity = 0;
        double healthyCapacity = 0;
        double usedCapacity = 0;
        double lateCapacity = 0;
        for (String zone : zones) {
            ZoneView view = zoneViews.get(zone);
            if (view != null) {
                capacity += view.capacity();
                healthyCapacity += view.capacity() * view.healthyFraction();
                usedCapacity += view.utilization() * view.capacity() * view.healthyFraction();
                lateCapacity += view.lateFraction() * view.capacity();
            }
        }
        if (capacity <= 0) {
            return new ZoneView(0, 0, 0, 0, 0, 0);
        }
        return new ZoneView(
                healthyCapacity / capacity,
                healthyCapacity <= 0 ? 0 : usedCapacity / healthyCapacity,
                lateCapacity / capacity,
                capacity,
                0,
                0);
    }

    private boolean isAvailable(String zone) {
        ZoneView view = zoneViews.get(zone);
        return view != null && view.healthyFraction() >= PriorityLevelState.MIN_HEALTHY_FRACTION;
    }

    private Set<String> availableZones(PriorityLevel level) {
        Set<String> available = new TreeSet<>(level.zones);
        available.removeIf(zone -> !isAvailable(zone));
        return available;
    }

    /**
     * Adds the load that this node would send beyond its first priority level, in calls per second by zone.
     */
    void addDemand(Map<String, Double> demandByZone, long now) {
        double remainingRate = levels.isEmpty()
                ? 0
                : DEMAND_MARGIN
                        * arrivalRate.perSecond(now)
                        * levels.get(0).state.spillFraction(now);
        for (int i = 1; i < levels.size() && remainingRate > MIN_DEMAND; i++) {
            Set<String> available = availableZones(levels.get(i));
            boolean allGrantsKnown = true;
            double grantedRate = 0;
            for (String zone : available) {
                demandByZone.merge(zone, remainingRate / available.size(), Double::sum);
                allGrantsKnown &= spillTokens.hasCurrentGrant(zone, now);
                grantedRate += spillTokens.grantedRate(zone, now);
            }
            if (!allGrantsKnown) {
                // The remaining capacity of the nearer level is not known yet.
                return;
            }
            remainingRate -= grantedRate;
        }
    }

    /**
     * Selects zones for a request that arrives now.
     *
     * @param uniformDraw a uniform random number from 0 to 1
     */
    ZoneSelection select(double uniformDraw, long now) {
        arrivalRate.increment(now);
        uncoordinatedCredit =
                Math.min(1, uncoordinatedCredit + rule.spillPolicy().uncoordinatedFraction());
        double remainingDraw = uniformDraw;
        for (int i = 0; i < levels.size(); i++) {
            PriorityLevelState state = levels.get(i).state;
            double spillFraction = i == levels.size() - 1 ? 0 : state.spillFraction(now);
            boolean spills = remainingDraw < spillFraction;
            // Scales the draw for the next level, at which it is uniform from 0 to 1 again.
            remainingDraw = spills
                    ? remainingDraw / spillFraction
                    : (remainingDraw - spillFraction) / Math.max(MIN_DIVISOR, 1 - spillFraction);
            if (!spills && !state.isUnavailable()) {
                ZoneSelection selection = i == 0 ? selectLevel(0) : selectSpill(i, now);
                if (selection != null) {
                    return selection;
                }
            }
        }
        if (!levels.isEmpty() && !levels.get(0).state.isUnavailable()) {
            return selectLevel(0);
        }
        return rule.panic() ? selectAllZones() : new ZoneSelection(this, ZoneSelection.NO_LEVEL, List.of(), false);
    }

    /**
     * Selects in panic mode, if there is no token and no responding endpoint in the first level: all responding zones
     * that the rule permits together. If only the nearest zones took the load, a single zone could receive all of it
     * without the capacity for it.
     */
    private ZoneSelection selectAllZones() {
        Set<String> available = new TreeSet<>();
        for (PriorityLevel level : levels) {
            available.addAll(availableZones(level));
        }
        return new ZoneSelection(
                this, available.isEmpty() ? ZoneSelection.NO_LEVEL : levels.size(), List.copyOf(available), false);
    }

    private ZoneSelection selectLevel(int level) {
        return new ZoneSelection(this, level, levels.get(level).zoneList, false);
    }

    /**
     * Selects a zone of that level by a token, or by the uncoordinated fraction; returns null if neither is available.
     */
    private ZoneSelection selectSpill(int level, long now) {
        Set<String> available = availableZones(levels.get(level));
        String zone = spillTokens.takeToken(available, now);
        if (zone != null) {
            return new ZoneSelection(this, level, List.of(zone), true);
        }
        if (!coordinated && !available.isEmpty() && uncoordinatedCredit >= 1) {
            uncoordinatedCredit -= 1;
            return new ZoneSelection(this, level, List.copyOf(available), false);
        }
        return null;
    }

    /**
     * Selects the next zones for a request that has tried all endpoints of {@code previous}; returns {@code previous}
     * if there are no others.
     */
    ZoneSelection selectNext(ZoneSelection previous, long now) {
        for (int i = previous.priorityLevel() + 1; i < levels.size(); i++) {
            ZoneSelection selection = levels.get(i).state.isUnavailable() ? null : selectSpill(i, now);
            if (selection != null) {
                return selection;
            }
        }
        if (previous.priorityLevel() != 0
                && !levels.isEmpty()
                && !levels.get(0).state.isUnavailable()) {
            return selectLevel(0);
        }
        ZoneSelection fallback = rule.panic()
                        && previous.priorityLevel() < levels.size()
                        && levels.get(0).state.isUnavailable()
                ? selectAllZones()
                : previous;
        return fallback.zones().isEmpty() ? previous : fallback;
    }

    /** Returns whether no priority level has a responding endpoint. */
    boolean hasNoAvailableZone() {
        return levels.stream().allMatch(level -> level.state.isUnavailable());
    }

    /** Returns how often any priority level has begun or ceased to spill over. */
    int transitions() {
        return levels.stream().mapToInt(level -> level.state.transitions()).sum();
    }

    /** Describes the state of all priority levels for a log line. */
    String describe(long now) {
        StringBuilder text = new StringBuilder("priority levels changed rule=" + rule.name());
        for (int i = 0; i < levels.size(); i++) {
            text.append(i == 0 ? " " : "; ").append(describeLevel(i, now));
        }
        return text.append("; coordinated=").append(coordinated).toString();
    }

    private String describeLevel(int level, long now) {
        PriorityLevelState state = levels.get(level).state;
        ZoneView view = levelView(levels.get(level).zones);
        return String.format(
                Locale.ROOT,
                "level=%d zones=%s state=%s utilization=%.2f healthy=%.2f late=%.2f spill=%.2f",
                level,
                levels.get(level).zones,
                stateName(state),
                view.utilization(),
                view.healthyFraction(),
                view.lateFraction(),
                state.spillFraction(now));
    }

    private static String stateName(PriorityLevelState state) {
        if (state.isUnavailable()) {
            return "unavailable";
        }
        return state.isSpilling() ? "spilling" : "normal";
    }
}

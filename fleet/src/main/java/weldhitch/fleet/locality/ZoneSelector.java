package weldhitch.fleet.locality;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import weldhitch.fleet.error.FleetError;

/**
 * Selects zones for a node's requests by locality rules. Owns the node's observations of zones, the fleet's view and
 * the quota grants, and reports the load that the node would send to other zones. The node picks the endpoint within
 * the selected zones. Free of I/O, clocks and threads; times are nanoseconds of the node's clock. Not thread-safe.
 */
public final class ZoneSelector {
    /** The age above which a view of the fleet is no longer used. */
    static final long MAX_VIEW_AGE = 3_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String nodeName;
    private final String ownZone;
    private final int fleetSize;
    private final LocalZoneHealth localHealth;
    private final SpillTokens spillTokens = new SpillTokens();
    private final Map<LocalityRule, Spillover> spillovers = new LinkedHashMap<>();
    /**
     * The same objects by the identity of the active rules, which saves each request a comparison of rules by value.
     */
    private final Map<LocalityRule, Spillover> activeSpillovers = new IdentityHashMap<>();

    private LocalityRules rules;
    private FleetView fleetView = FleetView.EMPTY;
    private long fleetViewSentAt = Long.MIN_VALUE;
    private final boolean hasCoordinators;
    private boolean staleViewReported;
    /** The time from which a view of the fleet is expected. */
    private long waitingSince;

    private final Set<LocalityRule> unroutableRules = new HashSet<>();

    /**
     * Creates a selector without rules.
     *
     * @param nodeName the node's name in error messages
     * @param ownZone the node's zone
     * @param fleetSize number of nodes of the fleet. Without a view of the fleet, its nodes are assumed to be spread
     *     evenly over the zones, and the nodes of one zone to send the same load
     * @param initialCapacityFraction fraction of its capacity that an endpoint has when it starts, 0 to 1
     * @param slowStartDuration slow start: time until an endpoint has its full capacity, in nanoseconds
     * @param hasCoordinators whether there are coordinators that provide a view of the fleet
     */
    public ZoneSelector(
            String nodeName,
            String ownZone,
            int fleetSize,
            double initialCapacityFraction,
            long slowStartDuration,
            boolean hasCoordinators) {
        this.hasCoordinators = hasCoordinators;
        this.nodeName = nodeName;
        this.ownZone = ownZone;
        this.fleetSize = fleetSize;
        localHealth = new LocalZoneHealth(initialCapacityFraction, slowStartDuration);
    }

    /**
     * Applies an update of the endpoint list, or the complete list.
     *
     * @param complete whether {@code changes} is the complete list
     */
    public void updateEndpoints(boolean complete, List<ZoneEndpoint> changes, long now) {
        Set<String> zonesBefore = localHealth.availableZones();
        localHealth.updateEndpoints(complete, changes);
        if (rules != null && !zonesBefore.equals(localHealth.availableZones())) {
            updatePriorityLevels(now);
            updateViews(now);
        }
    }

    /** Replaces the rules; null for none. A rule that remains keeps its state. */
    public void updateRules(LocalityRules newRules, long now) {
        if (newRules == rules) {
            return;
        }
        waitingSince = rules == null ? now : waitingSince;
        rules = newRules;
        activeSpillovers.clear();
        if (newRules == null) {
            spillovers.clear();
            return;
        }
        spillovers.keySet().retainAll(newRules.rules());
        for (LocalityRule rule : newRules.rules()) {
            activeSpillovers.put(
                    rule,
                    spillovers.computeIfAbsent(rule, newRule -> new Spillover(newRule, List.of(), spillTokens, now)));
        }
        updatePriorityLevels(now);
        updateViews(now);
    }

    private void updatePriorityLevels(long now) {
        spillovers.forEach((rule, spillover) -> spillover.updatePriorityLevels(
                rules.regions().priorityLevels(rule, ownZone, localHealth.availableZones()), now));
    }

    /** Returns whether there are rules. */
    public boolean isActive() {
        return rules != null;
    }

    /** Returns whether {@link #select} needs a request's route. */
    public boolean needsRoute() {
        return rules != null && rules.needsRoute();
    }

    /**
     * Selects zones for a request that arrives now. Returns null if no rule matches, in which case the request may be
     * sent to any zone.
     *
     * @param uniformDraw a uniform random number from 0 to 1
     */
    public ZoneSelection select(String requestClass, String tenant, String route, double uniformDraw, long now) {
        LocalityRule rule = rules == null ? null : rules.ruleFor(requestClass, tenant, route);
        return rule == null ? null : activeSpillovers.get(rule).select(uniformDraw, now);
    }

    /**
     * Selects the next zones for a request that has tried all endpoints of its present ones; returns {@code previous}
     * if there are no others.
     */
    public ZoneSelection selectNext(ZoneSelection previous, long now) {
        return previous.spillover().selectNext(previous, now);
    }

    /**
     * Records that an attempt was sent.
     *
     * @param selection the selection by which it was sent; null if no rule matched its request
     */
    public void onAttemptSent(String endpoint, ZoneSelection selection, long now) {
        localHealth.onAttemptSent(endpoint, selection != null && selection.claimTokenPayment(), now);
    }

    /**
     * Records the result of an attempt.
     *
     * @param late whether it exceeded the latency objective of its class
     * @param sentAt when it was sent
     */
    public void onAttemptEnded(String endpoint, CallResult result, boolean late, long sentAt, long now) {
        localHealth.onAttemptEnded(endpoint, result, late, sentAt, now);
    }

    /** Handles the fleet view in the leading coordinator's response to a heartbeat sent at {@code sentAt}. */
    public void onFleetView(FleetView view, long sentAt, long now) {
        fleetView = view;
        fleetViewSentAt = sentAt;
        view.grants()
                .forEach((zone, callsPerSecond) -> spillTokens.replaceGrant(
                        zone, new QuotaGrant(callsPerSecond, sentAt + view.grantDuration()), now));
        if (rules != null) {
            updateViews(now);
        }
    }

    /**
     * Evaluates all zones again, and returns log lines for operators. Must be called several times a second while there
     * are rules.
     */
    public List<String> tick(long now) {
        List<String> logLines = new ArrayList<>();
        Map<Spillover, Integer> transitionsBefore = new LinkedHashMap<>();
        spillovers.values().forEach(spillover -> transitionsBefore.put(spillover, spillover.transitions()));
        updateViews(now);
        spillovers.values().forEach(spillover -> {
            if (spillover.transitions() != transitionsBefore.get(spillover)) {
                logLines.add(spillover.describe(now));
            }
            logRoutability(spillover, logLines);
        });
        logViewFreshness(now, logLines);
        return logLines;
    }

    private void logRoutability(Spillover spillover, List<String> logLines) {
        LocalityRule rule = spillover.rule();
        if (spillover.hasNoAvailableZone() == unroutableRules.contains(rule)) {
            return;
        }
        if (unroutableRules.remove(rule)) {
            logLines.add("rule has a permitted zone again rule=" + rule.name());
        } else {
            unroutableRules.add(rule);
            logLines.add(new FleetError.NoPermittedZone(nodeName, rule.name()).message());
        }
    }

    private void logViewFreshness(long now, List<String> logLines) {
        boolean viewIsStale = hasCoordinators
                && rules != null
                && !hasFreshFleetView(now)
                && now - Math.max(waitingSince, fleetViewSentAt) > MAX_VIEW_AGE;
        if (viewIsStale != staleViewReported && (viewIsStale || hasFreshFleetView(now))) {
            staleViewReported = viewIsStale;
            logLines.add(
                    staleViewReported
                            ? new FleetError.StaleFleetView(nodeName, MAX_VIEW_AGE / NANOS_PER_MILLI).message()
                            : "fleet view fresh again reporters=" + fleetView.reporterCount());
        }
    }

    /** Returns whether there is a view of the fleet that is not stale. */
    public boolean hasFreshFleetView(long now) {
        return fleetViewSentAt != Long.MIN_VALUE
                && !fleetView.zones().isEmpty()
                && now - fleetViewSentAt <= MAX_VIEW_AGE;
    }

    private void updateViews(long now) {
        Map<String, ZoneView> views = zoneViews(now);
        boolean fresh = hasFreshFleetView(now);
        spillovers.values().forEach(spillover -> spillover.updateViews(views, fresh, now));
    }

    /**
     * Returns the fleet's view of each zone if there is one that is not stale, otherwise this node's own. The node's
     * own view of failures applies if it is worse than the fleet's, because this node may be the only one that is cut
     * off.
     */
    Map<String, ZoneView> zoneViews(long now) {
        Map<String, ZoneView> views = new TreeMap<>();
        if (rules == null) {
            return views;
        }
        Map<String, ZoneLoadReport> reports = localHealth.loadReports(rules.capacityPerWeight(), now);
        double similarNodes = Math.max(1, (double) fleetSize / Math.max(1, reports.size()));
        reports.forEach((zone, report) -> {
            ZoneView localView = LocalZoneHealth.localView(report, similarNodes, rules.capacityPerWeight(), now);
            FleetView.ZoneLoad zoneLoad =
                    hasFreshFleetView(now) ? fleetView.zones().get(zone) : null;
            views.put(
                    zone,
                    zoneLoad == null
                            ? localView
                            : new ZoneView(
                                    Math.min(localView.healthyFraction(), zoneLoad.healthyFraction()),
                                    zoneLoad.utilization(),
                                    zoneLoad.lateFraction(),
                                    zoneLoad.capacity(),
                                    fleetViewSentAt - zoneLoad.ageNanos(),
                                    fleetView.reporterCount()));
        });
        return views;
    }

    /** Returns the report for the coordinators, or null if there are no rules. */
    public NodeLoadReport loadReport(long now) {
        if (rules == null) {
            return null;
        }
        Map<String, Double> spillDemand = new TreeMap<>();
        spillovers.values().forEach(spillover -> spillover.addDemand(spillDemand, now));
        return new NodeLoadReport(
                rules.targetUtilization(),
                rules.maxLateFraction(),
                localHealth.loadReports(rules.capacityPerWeight(), now),
                spillDemand);
    }

    /** Returns how often priority levels have begun or ceased to spill over. */
    public int transitions() {
        return spillovers.values().stream().mapToInt(Spillover::transitions).sum();
    }
}

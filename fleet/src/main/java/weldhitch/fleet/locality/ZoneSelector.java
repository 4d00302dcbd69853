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
 * Selects zones for a node's requests by locality rules. Owns what the node has observed of zones, the
 * fleet's view and the quota grants, and reports what the node would send to other zones. The node's module
 * picks the endpoint within those zones. Free of I/O, clocks and threads; times are nanoseconds of the node's
 * clock. Not thread-safe.
 */
public final class ZoneSelector {
    /** The age from which on a view of the fleet is not used any more. */
    static final long MAX_VIEW_AGE = 3_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String nodeName;
    private final String ownZone;
    private final int fleetSize;
    private final LocalZoneHealth localHealth;
    private final SpillTokens spillTokens = new SpillTokens();
    private final Map<LocalityRule, Spillover> spillovers = new LinkedHashMap<>();
    /**
     * The same spillovers by identity of the active rules: a request must not pay for comparing rules by
     * value.
     */
    private final Map<LocalityRule, Spillover> activeSpillovers = new IdentityHashMap<>();

    private LocalityRules rules;
    private FleetView fleetView = FleetView.EMPTY;
    private long fleetViewSentAt = Long.MIN_VALUE;
    private final boolean hasCoordinators;
    private boolean staleViewReported;
    /** Since when a view of the fleet is expected. */
    private long waitingSince;

    private final Set<LocalityRule> unroutableRules = new HashSet<>();

    /**
     * Creates a selector without rules.
     *
     * @param nodeName the node's name, for errors
     * @param ownZone the node's zone
     * @param fleetSize number of nodes of the fleet; without a view of the fleet, the nodes of this zone are
     *     assumed to be an even part of them and to send the same load
     * @param initialCapacityFraction fraction of its capacity that an endpoint bears when it starts, 0 to 1
     * @param slowStartDuration slow start: how long until an endpoint bears its full capacity, in nanoseconds
     * @param hasCoordinators whether there are coordinators to get a view of the fleet from
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

    /** Replaces the rules; null for none. The state of a rule that remains is retained. */
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

    /** Whether there are rules. */
    public boolean isActive() {
        return rules != null;
    }

    /** Whether {@link #select} needs a request's route. */
    public boolean needsRoute() {
        return rules != null && rules.needsRoute();
    }

    /**
     * Selects zones for a request that arrives now; null if no rule matches, so that it may go to any zone.
     *
     * @param uniformDraw a uniform random number from 0 to 1
     */
    public ZoneSelection select(String requestClass, String tenant, String route, double uniformDraw, long now) {
        LocalityRule rule = rules == null ? null : rules.ruleFor(requestClass, tenant, route);
        return rule == null ? null : activeSpillovers.get(rule).select(uniformDraw, now);
    }

    /**
     * Selects the next zones for a request that has tried all endpoints of its present ones; returns {@code
     * previous} if there are no others.
     */
    public ZoneSelection selectNext(ZoneSelection previous, long now) {
        return previous.spillover().selectNext(previous, now);
    }

    /**
     * Records that an attempt was sent.
     *
     * @param selection the selection it was sent by; null if no rule matched its request
     */
    public void onAttemptSent(String endpoint, ZoneSelection selection, long now) {
        localHealth.onAttemptSent(endpoint, selection != null && selection.claimTokenPayment(), now);
    }

    /**
     * Records how an attempt ended.
     *
     * @param late whether it exceeded the latency objective of its class
     * @param sentAt when it was sent
     */
    public void onAttemptEnded(String endpoint, CallResult result, boolean late, long sentAt, long now) {
        localHealth.onAttemptEnded(endpoint, result, late, sentAt, now);
    }

    /** Handles the leading coordinator's response to a heartbeat sent at {@code sentAt}. */
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
     * Evaluates all zones again; to be called several times a second while there are rules. Returns log lines
     * for operators.
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

    /** Whether there is a view of the fleet that is not stale. */
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
     * The fleet's view of each zone if there is one that is not stale, else this node's own. The node's own
     * failures count if they are worse than the fleet's: it may be the only node that is cut off.
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

    /** The report for the coordinators; null if there are no rules. */
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

    /** How often priority levels have begun or ceased to spill over. */
    public int transitions() {
        return spillovers.values().stream().mapToInt(Spillover::transitions).sum();
    }
}

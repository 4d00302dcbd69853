package weldhitch.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.fleet.locality.CallResult;
import weldhitch.fleet.locality.FleetView;
import weldhitch.fleet.locality.LocalityRules;
import weldhitch.fleet.locality.NodeLoadReport;
import weldhitch.fleet.locality.ZoneEndpoint;
import weldhitch.fleet.locality.ZoneSelection;
import weldhitch.fleet.locality.ZoneSelector;
import weldhitch.fleet.member.FleetMember;

/**
 * Selects the zones that requests may go to, by the active locality rules. Confined to the event loop, except the
 * methods that the thread of the fleet member calls: {@link #loadReport()} returns what the loop has published, and
 * {@link #onFleetView} passes views to the loop.
 */
final class ZoneRouter implements FleetMember.ZoneLoadExchange {
    private static final long REFRESH_INTERVAL_MS = 100;

    private final Clock clock;
    private final EventLoop loop;
    private final ZoneSelector zoneSelector;
    private final SplittableRandom random;
    private Future<?> refreshTask;
    /** The load report for the coordinators as of the last refresh; null if no rule is active. */
    private volatile NodeLoadReport report;

    /**
     * Creates a router without rules.
     *
     * @param hasCoordinators whether the node receives views of its fleet from coordinators
     */
    ZoneRouter(
            String name, BalancerSettings settings, long seed, boolean hasCoordinators, Clock clock, EventLoop loop) {
        this.clock = clock;
        this.loop = loop;
        // Separate from the balancer's random numbers, which therefore do not depend on whether there are rules.
        random = new SplittableRandom(seed ^ 0x5EED_0F_20E5L);
        zoneSelector = new ZoneSelector(
                name,
                String.valueOf(settings.zone()),
                settings.nodeCount(),
                settings.rules().initialCapacity(),
                settings.rules().slowStartWindow(),
                hasCoordinators);
    }

    void endpointsChanged(EndpointsChanged event) {
        if (event.kind() == EndpointUpdateKind.REJECTED) {
            return;
        }
        List<ZoneEndpoint> endpoints =
                event.entries().stream().map(ZoneRouter::toZoneEndpoint).toList();
        zoneSelector.updateEndpoints(event.kind() != EndpointUpdateKind.DELTA, endpoints, clock.now());
    }

    private static ZoneEndpoint toZoneEndpoint(EndpointEntry entry) {
        return new ZoneEndpoint(
                entry.endpointId(),
                String.valueOf(entry.zone()),
                entry.weight() > 0 ? entry.weight() : 1,
                entry.startedAt(),
                entry.state() == EndpointState.READY,
                entry.state() == EndpointState.REMOVED);
    }

    /** Applies these rules to requests that arrive from now on; null for none. */
    void applyRules(LocalityRules newRules) {
        zoneSelector.updateRules(newRules, clock.now());
        if (zoneSelector.isActive() && refreshTask == null) {
            refreshTask = PeriodicTasks.start(
                    loop, "zone-refresh", this::refresh, REFRESH_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else if (!zoneSelector.isActive() && refreshTask != null) {
            refreshTask.cancel(false);
            refreshTask = null;
        }
        report = zoneSelector.loadReport(clock.now());
    }

    private void refresh() {
        long now = clock.now();
        zoneSelector.tick(now).forEach(line -> Log.line("locality " + line));
        report = zoneSelector.loadReport(now);
    }

    /** Returns the zones for a request that arrives now; null if no rule applies. */
    ZoneSelection selectZones(ClientRequest request, RouteTable routes) {
        if (!zoneSelector.isActive()) {
            return null;
        }
        String route = zoneSelector.needsRoute() ? RoutingRules.routeName(routes, request) : null;
        return zoneSelector.select(
                request.requestClass().name(), Headers.tenant(request), route, random.nextDouble(), clock.now());
    }

    ZoneSelection selectNextZones(ZoneSelection previous) {
        return zoneSelector.selectNext(previous, clock.now());
    }

    void attemptSent(String endpointId, ZoneSelection selection) {
        if (zoneSelector.isActive()) {
            zoneSelector.onAttemptSent(endpointId, selection, clock.now());
        }
    }

    void attemptEnded(String endpointId, AttemptOutcome outcome, long sentAt, long latencyObjective) {
        if (!zoneSelector.isActive() || outcome == AttemptOutcome.CANCELLED || outcome == AttemptOutcome.NOT_SENT) {
            return;
        }
        CallResult result = switch (outcome) {
            case FULL -> CallResult.REJECTED;
            case TIMED_OUT, CONNECT_FAILED, RESET -> CallResult.FAILED;
            default -> CallResult.ANSWERED;
        };
        // An application error counts as a late response, not as a failed one, because its endpoint is reachable.
        long now = clock.now();
        zoneSelector.onAttemptEnded(
                endpointId,
                result,
                outcome == AttemptOutcome.ERROR || latencyObjective > 0 && now - sentAt > latencyObjective,
                sentAt,
                now);
    }

    @Override
    public NodeLoadReport loadReport() {
        return report;
    }

    @Override
    public void onFleetView(FleetView view, long sentAt) {
        long sentAtClockTime = clock.now() - (System.nanoTime() - sentAt);
        loop.execute(() -> zoneSelector.onFleetView(view, sentAtClockTime, clock.now()));
    }
}

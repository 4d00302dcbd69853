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
 * Selects the zones that requests may go to, by the active locality rules. Confined to the event loop, except
 * what the fleet's thread calls: {@link #loadReport()}, which the loop publishes for it, and {@link #onFleetView}, which
 * passes views to the loop.
 */
final class ZoneRouter implements FleetMember.ZoneLoadExchange {
    private static final long REFRESH_INTERVAL_MS = 100;

    private final Clock clock;
    private final EventLoop loop;
    private final ZoneSelector locality;
    private final SplittableRandom random;
    private Future<?> refreshTask;
    /** The load report for the coordinators as of the last refresh; null while no rule is active. */
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
        // Separate from the balancer's random numbers, which therefore stay the same with or without rules.
        random = new SplittableRandom(seed ^ 0x5EED_0F_20E5L);
        locality = new ZoneSelector(
                name,
                String.valueOf(settings.zone()),
                settings.nodeCount(),
                settings.rules().initialCapacity(),
                settings.rules().slowStartWindow(),
                hasCoordinators);
    }

    // ---- the list and the rules ----

    void endpointsChanged(EndpointsChanged event) {
        if (event.kind() == EndpointUpdateKind.REJECTED) {
            return;
        }
        List<ZoneEndpoint> servers =
                event.entries().stream().map(ZoneRouter::toZoneServer).toList();
        locality.updateEndpoints(event.kind() != EndpointUpdateKind.DELTA, servers, clock.now());
    }

    private static ZoneEndpoint toZoneServer(EndpointEntry entry) {
        return new ZoneEndpoint(
                entry.endpointId(),
                String.valueOf(entry.zone()),
                entry.weight() > 0 ? entry.weight() : 1,
                entry.startedAt(),
                entry.state() == EndpointState.READY,
                entry.state() == EndpointState.REMOVED);
    }

    /** Applies these rules to requests that arrive from now on; none if null. */
    void applyRules(LocalityRules newRules) {
        locality.updateRules(newRules, clock.now());
        if (locality.isActive() && refreshTask == null) {
            refreshTask = loop.scheduleWithFixedDelay(
                    this::refresh, REFRESH_INTERVAL_MS, REFRESH_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else if (!locality.isActive() && refreshTask != null) {
            refreshTask.cancel(false);
            refreshTask = null;
        }
        report = locality.loadReport(clock.now());
    }

    private void refresh() {
        long now = clock.now();
        locality.tick(now).forEach(line -> Log.line("locality " + line));
        report = locality.loadReport(now);
    }

    // ---- requests ----

    /** The zones for a request that arrives now; null if no rule applies. */
    ZoneSelection selectZones(ClientRequest request, RouteTable routes) {
        if (!locality.isActive()) {
            return null;
        }
        String route = locality.needsRoute() ? RoutingRules.routeName(routes, request) : null;
        return locality.select(
                request.requestClass().name(), Headers.tenant(request), route, random.nextDouble(), clock.now());
    }

    ZoneSelection selectNextZones(ZoneSelection previous) {
        return locality.selectNext(previous, clock.now());
    }

    void attemptSent(String endpointId, ZoneSelection selection) {
        if (locality.isActive()) {
            locality.onAttemptSent(endpointId, selection, clock.now());
        }
    }

    void attemptEnded(String endpointId, AttemptOutcome outcome, long sentAt, long latencyObjective) {
        if (!locality.isActive() || outcome == AttemptOutcome.CANCELLED || outcome == AttemptOutcome.NOT_SENT) {
            return;
        }
        CallResult result = switch (outcome) {
            case FULL -> CallResult.REJECTED;
            case TIMED_OUT, CONNECT_FAILED, RESET -> CallResult.FAILED;
            default -> CallResult.ANSWERED;
        };
        // An application error counts as a late response, and yet shows that its endpoint is reachable.
        long now = clock.now();
        locality.onAttemptEnded(
                endpointId,
                result,
                outcome == AttemptOutcome.ERROR || latencyObjective > 0 && now - sentAt > latencyObjective,
                sentAt,
                now);
    }

    // ---- the fleet's thread ----

    @Override
    public NodeLoadReport loadReport() {
        return report;
    }

    @Override
    public void onFleetView(FleetView view, long sentAt) {
        long sentAtClockTime = clock.now() - (System.nanoTime() - sentAt);
        loop.execute(() -> locality.onFleetView(view, sentAtClockTime, clock.now()));
    }
}

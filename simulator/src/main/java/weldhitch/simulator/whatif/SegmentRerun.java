package weldhitch.simulator.whatif;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.snapshot.BalancerSnapshot;
import weldhitch.replay.CaptureSummary;
import weldhitch.simulator.cluster.BalancerTap;
import weldhitch.simulator.cluster.EventScheduler;
import weldhitch.simulator.cluster.SimCall;
import weldhitch.simulator.cluster.SimEndpoint;
import weldhitch.simulator.cluster.SimNode;

/**
 * Reruns a contiguous segment of a capture once: with the captured arrivals and endpoint lists, modelled servers
 * and a real balancer. Used once, single-threaded.
 */
final class SegmentRerun {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final ContiguousSegment segment;
    private final ServerModel model;
    private final ClientRetryModel retryModel;
    private final long segmentEnd;
    /** Unserved requests of the rerun with the captured rules; null if this is that rerun. */
    private final UnservedRequests baselineUnserved;

    final UnservedRequests unserved = new UnservedRequests();
    private final UniformRandomProvider retryRandom;
    private final long seed;
    private final EventScheduler scheduler;
    private final CaptureSummary summary;
    private final SimNode node;
    private final Map<String, String> zoneByEndpoint = new LinkedHashMap<>();
    private final Map<String, FittedServer> serverByEndpoint = new LinkedHashMap<>();
    private final Map<String, RequestClass> classesByName = new LinkedHashMap<>();
    private final Map<String, OpenRequest> openRequests = new LinkedHashMap<>();
    /** Attempts in flight at the start of the segment, as request id and attempt number. */
    private final Set<String> earlierAttempts = new LinkedHashSet<>();

    /**
     * Prepares a rerun.
     *
     * @param baselineUnserved unserved requests of the rerun with the captured rules; null if this is that rerun
     * @param summary receives every event and action
     */
    SegmentRerun(
            ContiguousSegment segment,
            ServerModel model,
            ClientRetryModel retryModel,
            UnservedRequests baselineUnserved,
            long seed,
            CaptureSummary summary) {
        this.segment = segment;
        this.model = model;
        this.retryModel = retryModel;
        this.baselineUnserved = baselineUnserved;
        this.seed = seed;
        retryRandom = randomStream(3);
        segmentEnd = segment.events().get(segment.events().size() - 1).timestamp();
        this.summary = summary;
        scheduler = new EventScheduler(segment.startRecord().timestamp());
        BalancerSettings settings = segment.startRecord().settings();
        settings.classes().forEach(c -> classesByName.put(c.name(), c));
        BalancerSnapshot snapshot = segment.startRecord().snapshot();
        snapshot.endpoints()
                .forEach(s -> zoneByEndpoint.put(
                        s.id(), snapshot.zones().get(s.zone()).name()));
        snapshot.requests().forEach(request -> {
            for (int i = 0; i < request.attempts().size(); i++) {
                if (!request.attempts().get(i).ended()) {
                    earlierAttempts.add(request.id() + " " + i);
                }
            }
        });
        node = new SimNode(
                scheduler,
                (from, to, delivery) -> delivery.run(),
                this::serverFor,
                settings,
                summary,
                new SummaryTap(),
                (server, crossZone) -> {});
    }

    /** A request in flight. */
    private record OpenRequest(
            RequestArrived arrival, UniformRandomProvider requestRandom, SimCall call, int attemptCount) {}

    /** Passes every event and its actions to the summary. */
    private final class SummaryTap implements BalancerTap {
        private long eventNumber;

        @Override
        public void onStart(BalancerSettings settings, Supplier<BalancerSnapshot> snapshotSource) {
            summary.onSnapshot(segment.startRecord(), true);
        }

        @Override
        public void beforeEvent(long now) {}

        @Override
        public void onEvent(long now, BalancerEvent event, List<BalancerAction> actions) {
            summary.afterReplay(++eventNumber, new CaptureEntry.EventRecord(now, event, actions), actions);
        }
    }

    private SimEndpoint serverFor(String endpointId) {
        return serverByEndpoint.computeIfAbsent(
                endpointId,
                newId -> new FittedServer(
                        scheduler,
                        model,
                        newId,
                        zoneByEndpoint.getOrDefault(newId, ""),
                        randomStream(newId.hashCode())));
    }

    private UniformRandomProvider randomStream(long stream) {
        return RandomSource.SPLIT_MIX_64.create(seed * 0x9E3779B97F4A7C15L + stream * 0xD1342543DE82EF95L);
    }

    /**
     * Runs the segment to its end, and then until its requests have ended.
     *
     * @param overrideRoutes whether {@code routes} (none if null) replace the captured ones
     */
    void run(boolean overrideRoutes, RouteTable routes) {
        node.resume(segment.startRecord().snapshot(), (outcome, retryAfter) -> {});
        if (overrideRoutes) {
            node.onUpdate(new RoutesChanged(routes));
        }
        long maxRemaining = classesByName.values().stream()
                .mapToLong(RequestClass::deadline)
                .max()
                .orElse(0);
        for (CaptureEntry.EventRecord eventRecord : segment.events()) {
            scheduler.runUntil(Math.max(scheduler.now(), eventRecord.timestamp()));
            BalancerEvent event = eventRecord.event();
            if (event instanceof RequestArrived arrival) {
                maxRemaining = Math.max(maxRemaining, arrival.deadline() - eventRecord.timestamp());
                if (!arrival.clientRetry() || retryArrives(arrival)) {
                    UniformRandomProvider requestRandom =
                            randomStream(arrival.requestId().hashCode() * 31L + 17);
                    dispatch(arrival, requestRandom, createCall(arrival, requestRandom), 1);
                }
            } else if (event instanceof EndpointsChanged endpointsChanged) {
                endpointsChanged
                        .entries()
                        .forEach(entry -> zoneByEndpoint.put(entry.endpointId(), String.valueOf(entry.zone())));
                node.onUpdate(event);
            } else if (event instanceof RoutesChanged && !overrideRoutes) {
                node.onUpdate(event);
            } else if (event instanceof ClientDisconnected disconnect) {
                clientDisconnected(disconnect.requestId());
            } else if (event instanceof AttemptEnded ended
                    && earlierAttempts.remove(ended.requestId() + " " + ended.attempt())) {
                node.attemptEnded(ended.requestId(), ended.attempt(), ended.outcome());
            }
        }
        scheduler.runUntil(scheduler.now() + Math.min(maxRemaining, 600 * NANOS_PER_SECOND) + NANOS_PER_SECOND);
    }

    /** Decides whether a captured retry arrives in this rerun. */
    private boolean retryArrives(RequestArrived retry) {
        int baselineCount = baselineUnserved == null
                ? 0
                : baselineUnserved.countInLastSecond(retry.requestClass(), scheduler.now());
        return baselineCount == 0
                || retryRandom.nextDouble() * baselineCount
                        < unserved.countInLastSecond(retry.requestClass(), scheduler.now());
    }

    private SimCall createCall(RequestArrived arrival, UniformRandomProvider requestRandom) {
        double spread = model.fitFor(arrival.requestClass()).logDeviation();
        // Log-normal with mean 1, so that the mean work of each class is preserved.
        double work = spread > 0
                ? LogNormalSampler.of(
                                ZigguratSampler.NormalizedGaussian.of(requestRandom), -spread * spread / 2, spread)
                        .sample()
                : 1;
        return new SimCall(arrival.requestClass(), work, 0);
    }

    private void dispatch(RequestArrived arrival, UniformRandomProvider requestRandom, SimCall call, int attemptCount) {
        RequestClass requestClass = classesByName.get(arrival.requestClass());
        OpenRequest request = new OpenRequest(arrival, requestRandom, call, attemptCount);
        openRequests.put(arrival.requestId(), request);
        node.dispatch(
                arrival,
                requestClass == null || requestClass.idempotency() == Idempotency.NON_IDEMPOTENT,
                call,
                (outcome, retryAfter) -> {
                    if (openRequests.remove(arrival.requestId()) != null && outcome != SimNode.RequestOutcome.SERVED) {
                        recordUnservedAndMaybeRetry(request, outcome == SimNode.RequestOutcome.REJECTED);
                    }
                });
    }

    private void clientDisconnected(String requestId) {
        OpenRequest request = openRequests.remove(requestId);
        if (request != null) {
            node.clientDisconnected(requestId);
            recordUnservedAndMaybeRetry(request, false);
        }
    }

    private void recordUnservedAndMaybeRetry(OpenRequest request, boolean rejected) {
        RequestArrived arrival = request.arrival;
        unserved.add(arrival.requestClass(), scheduler.now());
        int unservedCount = unserved.countInLastSecond(arrival.requestClass(), scheduler.now());
        // Only unserved requests beyond the number with the captured rules cause modelled retries: the retries of
        // the others are captured.
        if (baselineUnserved == null
                || request.requestRandom.nextDouble() * unservedCount
                        >= unservedCount
                                - baselineUnserved.countInLastSecond(arrival.requestClass(), scheduler.now())) {
            return;
        }
        long[] retry = retryModel.drawRetry(
                arrival.requestClass(),
                rejected,
                request.attemptCount,
                arrival.deadline() - scheduler.now(),
                request.requestRandom);
        if (retry != null && scheduler.now() + retry[0] <= segmentEnd) {
            scheduler.schedule(
                    retry[0],
                    () -> dispatch(
                            new RequestArrived(
                                    arrival.requestId() + "+",
                                    arrival.requestClass(),
                                    scheduler.now() + retry[1],
                                    arrival.tenant(),
                                    arrival.cost(),
                                    true,
                                    arrival.method(),
                                    arrival.target(),
                                    arrival.allowedZones()),
                            request.requestRandom,
                            request.call,
                            request.attemptCount + 1));
        }
    }
}

package weldhitch.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.HealthCheckCompleted;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ResponseStarted;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.event.ZonesAssigned;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.Tenant;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * Replaces the names of requests, endpoints, tenants and path segments in the entries of a capture slice. Each name is
 * always replaced by the same new name. Used by {@link CaptureSlicer}; not thread-safe.
 */
final class CaptureAnonymizer {
    private final Map<String, String> endpointNames;
    private final Map<String, String> requestNames = new LinkedHashMap<>();
    private final Map<String, String> tenantNames = new LinkedHashMap<>();
    private final Map<String, String> segmentNames = new LinkedHashMap<>();
    /** Path segments that are kept because routes match on them, and the names of request classes. */
    private final Set<String> preservedSegments = new LinkedHashSet<>();

    CaptureAnonymizer(List<CaptureEntry> entries) {
        Set<String> endpointIds = new LinkedHashSet<>();
        for (CaptureEntry entry : entries) {
            if (entry instanceof CaptureEntry.SnapshotRecord snapshotRecord) {
                snapshotRecord.snapshot().endpoints().forEach(s -> endpointIds.add(s.id()));
                preserveSegments(snapshotRecord.snapshot().routes());
                snapshotRecord.settings().classes().forEach(c -> preservedSegments.add(c.name()));
            } else if (entry instanceof CaptureEntry.EventRecord eventRecord) {
                if (eventRecord.event() instanceof EndpointsChanged changed) {
                    changed.entries().forEach(e -> endpointIds.add(e.endpointId()));
                } else if (eventRecord.event() instanceof RoutesChanged changed && changed.routes() != null) {
                    preserveSegments(changed.routes().routes());
                }
            }
        }
        endpointNames = CaptureSlicer.orderPreservingNames(endpointIds);
    }

    private void preserveSegments(List<RouteTable.Route> routes) {
        if (routes != null) {
            routes.forEach(r -> r.pattern().segments().forEach(preservedSegments::add));
        }
    }

    CaptureEntry anonymize(CaptureEntry entry) {
        if (entry instanceof CaptureEntry.SnapshotRecord snapshotRecord) {
            return new CaptureEntry.SnapshotRecord(
                    snapshotRecord.timestamp(),
                    "node",
                    "excerpt",
                    snapshotRecord.build(),
                    anonymizeSettings(snapshotRecord.settings()),
                    anonymizeSnapshot(snapshotRecord.snapshot()),
                    null);
        }
        CaptureEntry.EventRecord eventRecord = (CaptureEntry.EventRecord) entry;
        return new CaptureEntry.EventRecord(
                eventRecord.timestamp(),
                anonymizeEvent(eventRecord.event()),
                eventRecord.actions().stream().map(this::anonymizeAction).toList());
    }

    private String requestName(String id) {
        return id == null
                ? null
                : requestNames.computeIfAbsent(id, r -> String.format("%016x", requestNames.size() + 1));
    }

    private String endpointName(String id) {
        return id == null ? null : endpointNames.getOrDefault(id, "unknown");
    }

    private String tenantName(String name) {
        return name == null || name.equals("*")
                ? name
                : tenantNames.computeIfAbsent(name, t -> "tenant-" + (tenantNames.size() + 1));
    }

    private String anonymizeTarget(String target) {
        if (target == null) {
            return null;
        }
        List<String> segments = new ArrayList<>();
        for (String segment : target.split("/", -1)) {
            segments.add(
                    segment.isEmpty() || preservedSegments.contains(segment)
                            ? segment
                            : segmentNames.computeIfAbsent(segment, p -> "part-" + (segmentNames.size() + 1)));
        }
        return String.join("/", segments);
    }

    private BalancerEvent anonymizeEvent(BalancerEvent event) {
        if (event instanceof RequestArrived e) {
            return new RequestArrived(
                    requestName(e.requestId()),
                    e.requestClass(),
                    e.deadline(),
                    tenantName(e.tenant()),
                    e.cost(),
                    e.clientRetry(),
                    e.method(),
                    anonymizeTarget(e.target()),
                    e.allowedZones());
        } else if (event instanceof AttemptEnded e) {
            return new AttemptEnded(
                    requestName(e.requestId()),
                    e.attempt(),
                    endpointName(e.endpointId()),
                    e.outcome(),
                    e.latency(),
                    e.requestFinished(),
                    e.loadReport());
        } else if (event instanceof ResponseStarted e) {
            return new ResponseStarted(
                    requestName(e.requestId()), e.attempt(), endpointName(e.endpointId()), e.latency());
        } else if (event instanceof ClientDisconnected e) {
            return new ClientDisconnected(requestName(e.requestId()));
        } else if (event instanceof ZonesAssigned e) {
            return new ZonesAssigned(requestName(e.requestId()), e.zones());
        } else if (event instanceof EndpointsChanged e) {
            return new EndpointsChanged(
                    e.kind(),
                    e.entries().stream()
                            .map(entry -> new EndpointEntry(
                                    endpointName(entry.endpointId()),
                                    entry.zone(),
                                    entry.cell(),
                                    entry.state(),
                                    entry.weight(),
                                    entry.startedAt()))
                            .toList());
        } else if (event instanceof RoutesChanged e) {
            return new RoutesChanged(
                    e.routes() == null
                            ? null
                            : new RouteTable(anonymizeRoutes(e.routes().routes())));
        } else if (event instanceof HealthCheckCompleted e) {
            return new HealthCheckCompleted(endpointName(e.endpointId()), e.outcome(), e.latency(), e.loadReport());
        }
        return event;
    }

    private BalancerAction anonymizeAction(BalancerAction action) {
        if (action instanceof SendAttempt a) {
            return new SendAttempt(requestName(a.requestId()), endpointName(a.endpointId()), a.timeout());
        } else if (action instanceof CancelAttempt a) {
            return new CancelAttempt(requestName(a.requestId()), a.attempt());
        } else if (action instanceof RejectRequest a) {
            return new RejectRequest(requestName(a.requestId()), a.retryAfter());
        } else if (action instanceof FailRequest a) {
            return new FailRequest(requestName(a.requestId()), a.routeDeadlineExceeded());
        } else if (action instanceof RequestZones a) {
            return new RequestZones(requestName(a.requestId()));
        }
        return action;
    }

    private BalancerSettings anonymizeSettings(BalancerSettings settings) {
        return new BalancerSettings(
                settings.zone(),
                settings.zones(),
                settings.tier(),
                settings.nodeIndex(),
                settings.nodeCount(),
                settings.classes(),
                settings.tenants().stream()
                        .map(tenant -> new Tenant(tenantName(tenant.name()), tenant.quotaPerSecond()))
                        .toList(),
                settings.overQuotaWeight(),
                settings.weightByCost(),
                settings.pollsEndpoints(),
                settings.weightKind(),
                settings.loadReportFields(),
                settings.crossZoneCost(),
                settings.clockResolution(),
                settings.limits(),
                settings.rules());
    }

    private List<RouteTable.Route> anonymizeRoutes(List<RouteTable.Route> routes) {
        return routes == null
                ? null
                : routes.stream()
                        .map(route -> new RouteTable.Route(
                                route.name(), route.precedence(), route.pattern(), anonymizePolicy(route.policy())))
                        .toList();
    }

    private RoutePolicy anonymizePolicy(RoutePolicy policy) {
        Map<String, Double> tenantQuotas = new LinkedHashMap<>();
        policy.tenantQuotas().forEach((name, perSecond) -> tenantQuotas.put(tenantName(name), perSecond));
        return new RoutePolicy(
                policy.deadline(),
                policy.attemptTimeout(),
                policy.maxAttempts(),
                policy.backoff(),
                policy.retryOn(),
                policy.retryBudget(),
                policy.hedging(),
                policy.retryAfter(),
                tenantQuotas);
    }

    private BalancerSnapshot anonymizeSnapshot(BalancerSnapshot snapshot) {
        return new BalancerSnapshot(
                snapshot.version(),
                snapshot.randomState(),
                snapshot.zones(),
                snapshot.endpoints().stream()
                        .map(endpoint -> new BalancerSnapshot.EndpointSnapshot(
                                endpointName(endpoint.id()),
                                endpoint.zone(),
                                endpoint.cell(),
                                endpoint.state(),
                                endpoint.weight(),
                                endpoint.startedAt(),
                                endpoint.listed(),
                                endpoint.slowStartCredit(),
                                endpoint.warmingUp(),
                                endpoint.failures(),
                                endpoint.failedAt(),
                                endpoint.errorRate(),
                                endpoint.latencies(),
                                endpoint.latencySum(),
                                endpoint.sampleCount(),
                                endpoint.nextSample(),
                                endpoint.lastSampleAt(),
                                endpoint.lastResponseAt(),
                                endpoint.outstanding()))
                        .toList(),
                snapshot.warmingUp(),
                snapshot.servedRate(),
                snapshot.servedRateAt(),
                snapshot.classes(),
                anonymizeRoutes(snapshot.routes()),
                snapshot.activeRoutes(),
                snapshot.retryBudgets(),
                snapshot.routeTokenBuckets().stream().map(this::anonymizeBucket).toList(),
                snapshot.latencyPercentiles(),
                snapshot.routeStates().stream()
                        .map(routeState -> new BalancerSnapshot.RouteStateSnapshot(
                                anonymizePolicy(routeState.policy()),
                                routeState.retryBudget(),
                                routeState.tenantBuckets(),
                                routeState.latencyPercentile()))
                        .toList(),
                snapshot.requests().stream()
                        .map(request -> new BalancerSnapshot.RequestSnapshot(
                                requestName(request.id()),
                                request.requestClass(),
                                request.route(),
                                request.priorityWeight(),
                                request.rank(),
                                request.sequence(),
                                request.arrivedAt(),
                                request.deadline(),
                                request.deadlineShortened(),
                                request.cost(),
                                request.attempts(),
                                request.firstPossiblyExecuted(),
                                request.allowedZones(),
                                request.finished(),
                                request.queued(),
                                request.admitted(),
                                request.wakeUpAt()))
                        .toList(),
                snapshot.timers(),
                snapshot.timerArmedAt(),
                snapshot.nextSequence(),
                snapshot.admission(),
                snapshot.tenantQuotas().stream().map(this::anonymizeBucket).toList(),
                snapshot.meanRank(),
                snapshot.retryTokens(),
                snapshot.started(),
                snapshot.subscriptionPending(),
                snapshot.subscribed(),
                snapshot.subscriptionRejections());
    }

    private BalancerSnapshot.TokenBucketSnapshot anonymizeBucket(BalancerSnapshot.TokenBucketSnapshot bucket) {
        return new BalancerSnapshot.TokenBucketSnapshot(
                tenantName(bucket.tenant()),
                bucket.perSecond(),
                bucket.tokens(),
                bucket.refilledAt(),
                bucket.everUsed());
    }
}

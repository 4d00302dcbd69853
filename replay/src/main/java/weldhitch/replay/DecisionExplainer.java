package weldhitch.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.balancing.DecisionListener;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ResponseStarted;
import weldhitch.decision.event.ZonesAssigned;

/**
 * Explains how one request was routed, or why an endpoint was picked or not picked. Collects the explanation while a
 * capture is replayed. Not thread-safe; called on the replaying thread.
 */
public final class DecisionExplainer implements DecisionListener, Replayer.Listener {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_STEPS = 10_000;

    /**
     * One step of the explanation. Immutable.
     *
     * @param timestamp the node's clock, in nanoseconds
     * @param description the description for people
     * @param trace the trace if the step is a pick, even one for which no endpoint was available; else null
     */
    public record Step(long timestamp, String description, PickTrace trace) {}

    private final String requestId;
    private final String endpointId;
    private final long notAfterNanos;
    private final List<Step> steps = new ArrayList<>();
    private PickTrace latestPick;
    private long arrivedAt;

    private DecisionExplainer(String requestId, String endpointId, long notAfterNanos) {
        this.requestId = requestId;
        this.endpointId = endpointId;
        this.notAfterNanos = notAfterNanos;
    }

    /** Returns an explainer of one request. */
    public static DecisionExplainer forRequest(String id) {
        return new DecisionExplainer(id, null, 0);
    }

    /**
     * Returns an explainer of the last pick in which the endpoint was a candidate, chosen or not, and which happened at
     * or before {@code atNanos} of the node's clock.
     */
    public static DecisionExplainer forEndpoint(String id, long atNanos) {
        return new DecisionExplainer(null, id, atNanos);
    }

    @Override
    public void onPick(PickTrace trace) {
        if (trace.requestId().equals(requestId)) {
            addStep(
                    trace.at(),
                    trace.chosen() == null
                            ? "no endpoint is available now"
                            : "attempt " + trace.attempt() + " goes to " + trace.chosen() + ": drawn "
                                    + trace.firstDraw() + " and " + trace.secondDraw() + ", the lower mean is picked",
                    trace);
        } else if (endpointId != null
                && trace.at() <= notAfterNanos
                && trace.candidates().stream().anyMatch(c -> c.endpointId().equals(endpointId))) {
            latestPick = trace;
        }
    }

    @Override
    public void onDecision(long timestamp, String id, DecisionReason reason) {
        if (id.equals(requestId)) {
            addStep(timestamp, describe(reason), null);
        }
    }

    @Override
    public void beforeReplay(CaptureEntry.EventRecord eventRecord) {
        BalancerEvent event = eventRecord.event();
        if (event instanceof RequestArrived e && e.requestId().equals(requestId)) {
            arrivedAt = eventRecord.timestamp();
            addStep(
                    eventRecord.timestamp(),
                    "arrives: class " + e.requestClass() + ", "
                            + (e.deadline() - eventRecord.timestamp()) / NANOS_PER_MILLI
                            + " ms until its deadline" + (e.clientRetry() ? ", a client's retry" : "")
                            + (e.allowedZones() == null ? "" : ", allowed zones: " + joinZones(e.allowedZones())),
                    null);
        } else if (event instanceof AttemptEnded e && e.requestId().equals(requestId)) {
            addStep(
                    eventRecord.timestamp(),
                    "attempt " + e.attempt() + " at " + e.endpointId() + " ended after " + e.latency() / NANOS_PER_MILLI
                            + " ms: "
                            + e.outcome().name().toLowerCase(Locale.ROOT).replace('_', ' ')
                            + (e.requestFinished() ? ", the final answer is sent" : ""),
                    null);
        } else if (event instanceof ResponseStarted e && e.requestId().equals(requestId)) {
            addStep(
                    eventRecord.timestamp(),
                    "attempt " + e.attempt() + " at " + e.endpointId() + " begins the final answer",
                    null);
        } else if (event instanceof ClientDisconnected e && e.requestId().equals(requestId)) {
            addStep(eventRecord.timestamp(), "the client disconnected", null);
        } else if (event instanceof ZonesAssigned e && e.requestId().equals(requestId)) {
            addStep(eventRecord.timestamp(), "its allowed zones are " + joinZones(e.zones()) + " from now on", null);
        }
    }

    @Override
    public void afterReplay(long number, CaptureEntry.EventRecord eventRecord, List<BalancerAction> actions) {
        for (BalancerAction action : actions) {
            if (action instanceof RejectRequest a && a.requestId().equals(requestId)) {
                addStep(
                        eventRecord.timestamp(),
                        "rejected"
                                + (a.retryAfter() > 0
                                        ? ", with Retry-After of " + a.retryAfter() / NANOS_PER_MILLI + " ms"
                                        : ""),
                        null);
            } else if (action instanceof FailRequest a && a.requestId().equals(requestId)) {
                addStep(
                        eventRecord.timestamp(),
                        "failed: it may have run, so a client's retry could run it twice",
                        null);
            } else if (action instanceof CancelAttempt a && a.requestId().equals(requestId)) {
                addStep(eventRecord.timestamp(), "attempt " + a.attempt() + " is cancelled", null);
            }
        }
    }

    private static String joinZones(List<String> zones) {
        return zones.isEmpty() ? "no zone" : String.join(", ", zones);
    }

    private void addStep(long timestamp, String description, PickTrace trace) {
        if (steps.size() < MAX_STEPS) {
            steps.add(new Step(timestamp, description, trace));
        }
    }

    private static String describe(DecisionReason reason) {
        return switch (reason) {
            case ADMITTED -> "admitted";
            case QUEUED -> "is queued: the admission limit is reached";
            case QUEUE_TIMEOUT -> "was not admitted in time";
            case TENANT_QUOTA_EXHAUSTED -> "its tenant's quota on this route is exhausted";
            case REQUESTING_ZONES -> "no endpoint is left in its allowed zones: other zones are requested";
            case NO_ALLOWED_ZONE -> "no zone is allowed";
            case NO_ENDPOINT_AVAILABLE -> "waits: no endpoint is available now";
            case DEADLINE_EXCEEDED -> "its deadline is exceeded";
            case RETRIED -> "is retried immediately";
            case BACKING_OFF -> "is retried after a backoff";
            case HEDGED -> "its attempt takes longer than usual: a hedged request is sent";
            case OUTCOME_NOT_RETRYABLE -> "is not retried: its route does not retry after this outcome";
            case MAX_ATTEMPTS_REACHED -> "is not retried: the maximum number of attempts is reached";
            case POSSIBLY_EXECUTED -> "is not retried: it is not idempotent and may have run";
            case DEDUPLICATION_WINDOW_EXPIRED -> "is not retried: its deduplication window has expired";
            case RETRY_BUDGET_EXHAUSTED -> "is not retried: the retry budget is exhausted";
            case BACKOFF_EXCEEDS_DEADLINE -> "is not retried: the backoff would exceed its deadline";
        };
    }

    /** Returns the steps in chronological order; empty if the capture has none for this request or endpoint. */
    public List<Step> steps() {
        return latestPick == null
                ? List.copyOf(steps)
                : List.of(new Step(
                        latestPick.at(),
                        "request " + latestPick.requestId() + ": endpoint " + latestPick.chosen() + " was picked",
                        latestPick));
    }

    /** Returns the explanation as text, with one line per step and a table of the candidates of each pick. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Step step : steps()) {
            text.append(String.format(
                    Locale.ROOT,
                    "%+10.3f ms  %s%n",
                    (step.timestamp - (arrivedAt == 0 ? step.timestamp : arrivedAt)) / 1e6,
                    step.description));
            if (step.trace != null) {
                appendTable(step.trace, text);
            }
        }
        return text.toString();
    }

    private static void appendTable(PickTrace trace, StringBuilder text) {
        double totalWeight =
                trace.candidates().stream().mapToDouble(PickCandidate::weight).sum();
        text.append(String.format(Locale.ROOT, "               t_b %.3f%n", trace.lowestMean()));
        text.append(String.format(
                Locale.ROOT,
                "               %-20s %8s %8s %8s %6s %4s %7s%n",
                "server",
                "mean",
                "now",
                "failures",
                "ramp",
                "out",
                "chance"));
        trace.candidates().stream()
                .sorted(Comparator.comparingDouble(PickCandidate::weight).reversed())
                .limit(20)
                .forEach(c -> text.append(String.format(
                        Locale.ROOT,
                        "               %-20s %8.3f %8.3f %8.3f %6.2f %4d %s%s%n",
                        c.endpointId(),
                        c.windowMean(),
                        c.pickMean(),
                        c.healthFactor(),
                        c.slowStartFactor(),
                        c.outstanding(),
                        c.exclusion() == ExclusionReason.NONE
                                ? String.format(Locale.ROOT, "%6.1f%%", 100 * c.weight() / totalWeight)
                                : "    out",
                        exclusionSuffix(c.exclusion()))));
    }

    private static String exclusionSuffix(ExclusionReason exclusion) {
        return switch (exclusion) {
            case NONE -> "";
            case DRAINING -> ": draining";
            case OUTSIDE_SUBSET -> ": outside this node's subset";
            case NO_SLOW_START_CREDIT -> ": warming up, and its slow-start credit is used up";
            case ALREADY_ATTEMPTED -> ": already attempted";
            case OUTSIDE_DEDUPLICATION_SCOPE -> ": outside the request's deduplication scope";
            case ZONE_NOT_ALLOWED -> ": in a zone that is not allowed for the request";
        };
    }
}

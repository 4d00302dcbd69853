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
    private final long notAfter;
    private final List<Step> steps = new ArrayList<>();
    private PickTrace latestPick;
    private long arrivedAt;

    private DecisionExplainer(String requestId, String endpointId, long notAfter) {
        this.requestId = requestId;
        this.endpointId = endpointId;
        this.notAfter = notAfter;
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
                            ? "no server may take it now"
                            : "attempt " + trace.attempt() + " goes to " + trace.chosen() + ": drawn "
                                    + trace.firstDraw() + " and " + trace.secondDraw() + ", the lower mean wins",
                    trace);
        } else if (endpointId != null
                && trace.at() <= notAfter
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
                            + " ms to answer in" + (e.clientRetry() ? ", a client's retry" : "")
                            + (e.allowedZones() == null ? "" : ", for servers of " + joinZones(e.allowedZones())),
                    null);
        } else if (event instanceof AttemptEnded e && e.requestId().equals(requestId)) {
            addStep(
                    eventRecord.timestamp(),
                    "attempt " + e.attempt() + " at " + e.endpointId() + " ended after " + e.latency() / NANOS_PER_MILLI
                            + " ms: "
                            + e.outcome().name().toLowerCase(Locale.ROOT).replace('_', ' ')
                            + (e.requestFinished() ? ", the final answer is given" : ""),
                    null);
        } else if (event instanceof ResponseStarted e && e.requestId().equals(requestId)) {
            addStep(
                    eventRecord.timestamp(),
                    "attempt " + e.attempt() + " at " + e.endpointId() + " begins its answer, which is the final one",
                    null);
        } else if (event instanceof ClientDisconnected e && e.requestId().equals(requestId)) {
            addStep(eventRecord.timestamp(), "its client has gone", null);
        } else if (event instanceof ZonesAssigned e && e.requestId().equals(requestId)) {
            addStep(eventRecord.timestamp(), "may go to servers of " + joinZones(e.zones()) + " from here on", null);
        }
    }

    @Override
    public void afterReplay(long number, CaptureEntry.EventRecord eventRecord, List<BalancerAction> actions) {
        for (BalancerAction action : actions) {
            if (action instanceof RejectRequest a && a.requestId().equals(requestId)) {
                addStep(
                        eventRecord.timestamp(),
                        "refused"
                                + (a.retryAfter() > 0
                                        ? ", to come again after " + a.retryAfter() / NANOS_PER_MILLI + " ms"
                                        : ""),
                        null);
            } else if (action instanceof FailRequest a && a.requestId().equals(requestId)) {
                addStep(
                        eventRecord.timestamp(),
                        "failed: it may have run, so nothing says that a retry does no harm",
                        null);
            } else if (action instanceof CancelAttempt a && a.requestId().equals(requestId)) {
                addStep(eventRecord.timestamp(), "attempt " + a.attempt() + " is called off", null);
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
            case ADMITTED -> "let in";
            case QUEUED -> "waits: as many are let in at once as servers answer in time";
            case QUEUE_TIMEOUT -> "no room came in time";
            case TENANT_QUOTA_EXHAUSTED -> "its tenant's limit on this route is used up";
            case REQUESTING_ZONES -> "no server is left in its zones: asks whether others may take it";
            case NO_ALLOWED_ZONE -> "no zone may take it";
            case NO_ENDPOINT_AVAILABLE -> "held back: no server may take it now";
            case DEADLINE_EXCEEDED -> "its time is up";
            case RETRIED -> "is tried again at once";
            case BACKING_OFF -> "is tried again after a wait";
            case HEDGED -> "its attempt takes longer than usual: a second copy goes out";
            case OUTCOME_NOT_RETRYABLE -> "is not tried again: its route does not after this outcome";
            case MAX_ATTEMPTS_REACHED -> "is not tried again: no further attempt is allowed";
            case POSSIBLY_EXECUTED -> "is not tried again: it is unsafe and may have run";
            case DEDUPLICATION_WINDOW_EXPIRED -> "is not tried again: servers no longer know its key";
            case RETRY_BUDGET_EXHAUSTED -> "is not tried again: the budget for that is spent";
            case BACKOFF_EXCEEDS_DEADLINE -> "is not tried again: the wait would outlast its deadline";
        };
    }

    /** Returns the steps in chronological order; empty if the capture has none for this request or endpoint. */
    public List<Step> steps() {
        return latestPick == null
                ? List.copyOf(steps)
                : List.of(new Step(
                        latestPick.at(),
                        "request " + latestPick.requestId() + " is drawn for: " + latestPick.chosen() + " takes it",
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
            case DRAINING -> ": it drains";
            case OUTSIDE_SUBSET -> ": not among those this node looks at";
            case NO_SLOW_START_CREDIT -> ": cold, and its credit is spent";
            case ALREADY_ATTEMPTED -> ": tried before";
            case OUTSIDE_DEDUPLICATION_SCOPE -> ": does not know the request's key";
            case ZONE_NOT_ALLOWED -> ": of a zone that the request may not go to";
        };
    }
}

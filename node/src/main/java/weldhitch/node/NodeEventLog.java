package weldhitch.node;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Logs rejections, retries, closes and similar events without a line for each: counts them by event and reason, and
 * once a second logs the counts that are not 0, each with the id of the first request concerned. Not thread-safe,
 * confined to the event loop.
 */
final class NodeEventLog {
    private static final long INTERVAL_SECONDS = 1;

    /** The key of a count; the reason is null for events that have none. */
    private record Kind(NodeEvent event, Enum<?> reason) {}

    /** The number of occurrences of an event, and the id of the first request concerned; null if there is none. */
    private static final class Count {
        final String firstRequestId;
        int occurrences;

        Count(String firstRequestId) {
            this.firstRequestId = firstRequestId;
        }
    }

    private final Map<Kind, Count> counts = new LinkedHashMap<>();

    void start(EventLoop loop) {
        PeriodicTasks.start(loop, "event-log", this::flush, INTERVAL_SECONDS, TimeUnit.SECONDS);
    }

    /** Counts an event that has no reason. */
    void count(NodeEvent event, String requestId) {
        count(event, null, requestId);
    }

    /** Counts an event; {@code requestId} is null if it concerns no request. */
    void count(NodeEvent event, Enum<?> reason, String requestId) {
        counts.computeIfAbsent(new Kind(event, reason), kind -> new Count(requestId)).occurrences++;
    }

    /** Counts an attempt that is about to be added to the request, unless it is the first one. */
    void countRetryOrHedge(InFlightRequest inFlight) {
        if (inFlight.attemptsInFlight > 0) {
            count(NodeEvent.HEDGED_REQUEST_SENT, inFlight.request.id());
        } else if (!inFlight.attempts.isEmpty()) {
            Attempt previous = inFlight.attempts.get(inFlight.attempts.size() - 1);
            count(NodeEvent.RETRY_SENT, previous.outcome, inFlight.request.id());
        }
    }

    /** Logs all counts and resets them. */
    void flush() {
        counts.forEach((kind, count) -> Log.line(line(kind, count)));
        counts.clear();
    }

    private static String line(Kind kind, Count count) {
        return NodeEvent.toPhrase(kind.event)
                + (kind.reason == null ? "" : " reason=" + NodeEvent.toToken(kind.reason))
                + " count=" + count.occurrences
                + (count.firstRequestId == null ? "" : " first=" + count.firstRequestId);
    }
}

package weldhitch.simulator.whatif;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.settings.Idempotency;

/**
 * A model of how clients retry, estimated from a segment of a capture.
 *
 * <p>A capture does not show which request a retry belongs to, and a retry may go to another node. Because the front
 * end distributes requests evenly, as many retries of other nodes' requests arrive at this node as retries of this
 * node's requests arrive at other nodes.
 *
 * <p>In the rerun with the captured rules, exactly the captured retries arrive. A rerun with other rules compares its
 * number of unserved requests in the last second with that of the first rerun. If it has fewer, a proportional fraction
 * of the captured retries arrives. If it has more, all captured retries arrive, and in addition each unserved request
 * beyond that number is retried with the ratio of retries to unserved requests of its class, or of all classes if its
 * class had few, as the probability. Errors that the model makes in both reruns therefore cancel out.
 *
 * <p>A capture does not contain the backoff of clients, which is assumed to be uniform up to 200 ms. Requests that
 * must not run twice are retried only after a rejection. Not modified once built.
 */
final class ClientRetryModel {
    /** A class with fewer unserved requests than this uses the ratio over all classes. */
    private static final int MIN_SAMPLES = 30;
    /** Upper bound of the assumed backoff, in nanoseconds. */
    private static final double MAX_RETRY_DELAY_NANOS = 200e6;
    /** Maximum number of retries of one request, so that a rerun ends. Real clients make up to three. */
    private static final int MAX_RETRIES = 3;

    /** Number of unserved requests and of retries, of one class or of all. */
    private static final class RetryStatistics {
        long unserved;
        long retries;
        /** Time from the arrival of each retry to its deadline, in nanoseconds. */
        final List<Long> timeouts = new ArrayList<>();

        double retryProbability() {
            return unserved == 0 ? 0 : Math.min(1, (double) retries / unserved);
        }
    }

    private final Map<String, RetryStatistics> statisticsByClass = new LinkedHashMap<>();
    private final Map<String, Boolean> idempotentByClass = new LinkedHashMap<>();
    private final RetryStatistics total = new RetryStatistics();

    ClientRetryModel(ContiguousSegment segment) {
        segment.startRecord()
                .settings()
                .classes()
                .forEach(c -> idempotentByClass.put(c.name(), c.idempotency() == Idempotency.IDEMPOTENT));
        Map<String, String> classByOpenRequest = new LinkedHashMap<>();
        for (CaptureEntry.EventRecord eventRecord : segment.events()) {
            if (eventRecord.event() instanceof RequestArrived arrival) {
                if (classByOpenRequest.putIfAbsent(arrival.requestId(), String.valueOf(arrival.requestClass())) == null
                        && arrival.clientRetry()) {
                    statisticsOf(arrival.requestClass()).retries++;
                    total.retries++;
                    statisticsOf(arrival.requestClass()).timeouts.add(arrival.deadline() - eventRecord.timestamp());
                }
            } else if (eventRecord.event() instanceof ClientDisconnected disconnect) {
                recordUnserved(classByOpenRequest.remove(disconnect.requestId()), false);
            } else if (eventRecord.event() instanceof AttemptEnded ended && ended.requestFinished()) {
                classByOpenRequest.remove(ended.requestId());
            }
            for (BalancerAction action : eventRecord.actions()) {
                if (action instanceof RejectRequest reject) {
                    recordUnserved(classByOpenRequest.remove(reject.requestId()), true);
                } else if (action instanceof FailRequest fail) {
                    recordUnserved(classByOpenRequest.remove(fail.requestId()), false);
                }
            }
        }
    }

    private RetryStatistics statisticsOf(String requestClass) {
        return statisticsByClass.computeIfAbsent(String.valueOf(requestClass), c -> new RetryStatistics());
    }

    private void recordUnserved(String requestClass, boolean rejected) {
        if (requestClass != null && (rejected || isIdempotent(requestClass))) {
            statisticsOf(requestClass).unserved++;
            total.unserved++;
        }
    }

    private boolean isIdempotent(String requestClass) {
        return idempotentByClass.getOrDefault(String.valueOf(requestClass), false);
    }

    /** Returns the probability that an unserved request of the class is retried. */
    double retryProbability(String requestClass) {
        RetryStatistics statistics = statisticsByClass.get(String.valueOf(requestClass));
        return statistics == null || statistics.unserved < MIN_SAMPLES
                ? total.retryProbability()
                : statistics.retryProbability();
    }

    /**
     * Draws whether, and when, the client of an unserved request retries.
     *
     * @param rejected whether it was rejected; otherwise it failed or its client disconnected
     * @param attempts number of client attempts so far
     * @param remainingNanos nanoseconds until the deadline of the request
     * @param random generator that is used for this request only
     * @return the time until the retry and the time from then to its deadline, in nanoseconds; null for no retry
     */
    long[] drawRetry(
            String requestClass, boolean rejected, int attempts, long remainingNanos, UniformRandomProvider random) {
        double retryDraw = random.nextDouble();
        long delay = (long) (random.nextDouble() * MAX_RETRY_DELAY_NANOS);
        double timeoutDraw = random.nextDouble();
        if (attempts > MAX_RETRIES
                || !rejected && !isIdempotent(requestClass)
                || retryDraw >= retryProbability(requestClass)) {
            return null;
        }
        RetryStatistics statistics = statisticsByClass.get(String.valueOf(requestClass));
        long timeout = statistics == null || statistics.timeouts.isEmpty()
                ? remainingNanos - delay
                : statistics.timeouts.get((int) (timeoutDraw * statistics.timeouts.size()));
        return timeout <= 0 ? null : new long[] {delay, timeout};
    }
}

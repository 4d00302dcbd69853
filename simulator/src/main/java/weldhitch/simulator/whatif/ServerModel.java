package weldhitch.simulator.whatif;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.simulator.whatif.CapturedAttempts.CapturedAttempt;

/**
 * A model of the servers, fitted to a segment of a capture. The node sees only its own calls; each other node is
 * assumed to load each server as this node does on average (a mean-field approximation). The concurrency of a call is
 * thus this node's calls in flight at the server plus (nodes - 1) times their mean in that second.
 *
 * <p>A served call of a class takes {@code slowdown * (fixedNanos + nanosPerCall * concurrency)}: time spent
 * waiting for other services, and time on a core that is shared evenly. {@code fixedNanos} and {@code nanosPerCall}
 * are least-squares estimates over all servers. {@code slowdown} is that of the server in that second, shrunk
 * towards its overall value with the weight of five calls.
 *
 * <p>Failures are fractions of the calls in that second. The server rejects a call as full if the concurrency reaches
 * its capacity. The capacity is chosen such that as many calls of that second reached it as were rejected.
 * Not modified once built.
 */
final class ServerModel {
    /** Weight, in calls, of a server's overall slowdown against that of one second. */
    private static final double PRIOR_CALLS = 5;
    /**
     * Number of windows after the last call in which the server keeps its last condition; after them, its overall
     * slowdown is used.
     */
    private static final long CONDITION_VALID_WINDOWS = 5;
    /**
     * A call counts as lost if it exceeds its expected time by this factor, in a second in which no call was
     * answered.
     */
    private static final double LOST_CALL_SLOWDOWN = 3;

    /**
     * The fitted service time of a class, in nanoseconds.
     *
     * @param fixedNanos part that does not depend on the load
     * @param nanosPerCall part for each call that shares the core
     * @param logDeviation standard deviation of the logarithm of the residuals
     * @param samples number of calls that it was fitted to
     */
    record LatencyFit(double fixedNanos, double nanosPerCall, double logDeviation, long samples) {
        /** Returns the expected service time in nanoseconds at this concurrency, without slowdown. */
        double latencyAt(double concurrency) {
            return fixedNanos + nanosPerCall * concurrency;
        }
    }

    /**
     * The condition of a server in one window.
     *
     * @param slowdown multiple of the expected service time
     * @param capacity concurrency from which on it rejects; infinite if it did not reject
     * @param errorFraction fraction of calls that ended with an error, not counting abandoned and unsent calls
     * @param connectFailureFraction the same for failed connections
     * @param resetFraction the same for reset connections
     * @param silent whether no call was answered
     */
    record ServerCondition(
            double slowdown,
            double capacity,
            double errorFraction,
            double connectFailureFraction,
            double resetFraction,
            boolean silent) {
        /** Returns a condition without failures. */
        static ServerCondition typical(double slowdown) {
            return new ServerCondition(slowdown, Double.POSITIVE_INFINITY, 0, 0, 0, false);
        }
    }

    final Map<String, LatencyFit> fitByClass = new LinkedHashMap<>();
    private final LatencyFit overallFit;
    private final Map<String, TreeMap<Long, ServerCondition>> conditionsByEndpoint = new LinkedHashMap<>();
    private final Map<String, Double> typicalSlowdown = new LinkedHashMap<>();
    private final CapturedAttempts attempts;
    private final long segmentStart;
    final int otherNodes;
    /** Median time until a rejection or error arrives, in nanoseconds; 1 ms if there was none. */
    final long rejectionLatency;

    ServerModel(ContiguousSegment segment) {
        attempts = new CapturedAttempts(segment);
        segmentStart = segment.startRecord().timestamp();
        otherNodes = segment.startRecord().settings().nodeCount() - 1;
        Map<String, List<CapturedAttempt>> byClass = new LinkedHashMap<>();
        Map<String, List<CapturedAttempt>> byEndpoint = new LinkedHashMap<>();
        List<CapturedAttempt> served = new ArrayList<>();
        List<Long> rejectionTimes = new ArrayList<>();
        for (CapturedAttempt attempt : attempts.attempts) {
            if (attempt.outcome == AttemptOutcome.OK) {
                byClass.computeIfAbsent(String.valueOf(attempt.requestClass), c -> new ArrayList<>())
                        .add(attempt);
                served.add(attempt);
            } else if (attempt.outcome == AttemptOutcome.FULL || attempt.outcome == AttemptOutcome.ERROR) {
                rejectionTimes.add(attempt.duration);
            }
            byEndpoint
                    .computeIfAbsent(attempt.endpointId, s -> new ArrayList<>())
                    .add(attempt);
        }
        overallFit = fitLine(served);
        byClass.forEach((name, attemptsOfClass) -> fitByClass.put(name, fitLine(attemptsOfClass)));
        rejectionTimes.sort(null);
        rejectionLatency = rejectionTimes.isEmpty() ? 1_000_000L : rejectionTimes.get(rejectionTimes.size() / 2);
        byEndpoint.forEach(this::fitConditions);
        fitByClass.replaceAll((name, fit) ->
                new LatencyFit(fit.fixedNanos, fit.nanosPerCall, logDeviationOf(byClass.get(name)), fit.samples));
    }

    private double estimatedConcurrency(CapturedAttempt attempt) {
        return attempt.concurrency + otherNodes * attempts.meanOutstanding(attempt.endpointId, attempt.sentAt);
    }

    /**
     * Fits a line by least squares without negative parameters: if a parameter would be negative, fits a line through
     * the origin or a constant.
     */
    private LatencyFit fitLine(List<CapturedAttempt> served) {
        SimpleRegression withIntercept = new SimpleRegression();
        SimpleRegression throughOrigin = new SimpleRegression(false);
        double sum = 0;
        for (CapturedAttempt attempt : served) {
            double concurrency = estimatedConcurrency(attempt);
            withIntercept.addData(concurrency, attempt.duration);
            throughOrigin.addData(concurrency, attempt.duration);
            sum += attempt.duration;
        }
        double mean = served.isEmpty() ? 50e6 : Math.max(1, sum / served.size());
        double slope = withIntercept.getSlope();
        if (served.size() < 10 || !(slope > 0)) {
            return new LatencyFit(mean, 0, 0, served.size());
        }
        return withIntercept.getIntercept() >= 0
                ? new LatencyFit(withIntercept.getIntercept(), slope, 0, served.size())
                : new LatencyFit(0, throughOrigin.getSlope(), 0, served.size());
    }

    /** Returns the service time of a class, or that over all classes if the capture does not contain the class. */
    LatencyFit fitFor(String requestClass) {
        return fitByClass.getOrDefault(String.valueOf(requestClass), overallFit);
    }

    private void fitConditions(String endpointId, List<CapturedAttempt> endpointAttempts) {
        TreeMap<Long, List<CapturedAttempt>> windows = new TreeMap<>();
        double[] sums = new double[2];
        for (CapturedAttempt attempt : endpointAttempts) {
            windows.computeIfAbsent(
                            Math.floorDiv(attempt.sentAt, CapturedAttempts.WINDOW_NANOS), w -> new ArrayList<>())
                    .add(attempt);
            addObserved(sums, attempt, 1);
        }
        double typical = (sums[0] + PRIOR_CALLS * meanLatency()) / (sums[1] + PRIOR_CALLS * meanLatency());
        typicalSlowdown.put(endpointId, typical);
        TreeMap<Long, ServerCondition> conditions = new TreeMap<>();
        windows.forEach((window, sent) -> conditions.put(window, conditionOf(sent, typical)));
        this.conditionsByEndpoint.put(endpointId, conditions);
    }

    private double meanLatency() {
        return Math.max(1, overallFit.latencyAt(1));
    }

    /**
     * Adds the actual and the expected time of a call; an abandoned call counts only if it took longer than expected.
     */
    private void addObserved(double[] sums, CapturedAttempt attempt, double slowdown) {
        double expectedNanos = fitFor(attempt.requestClass).latencyAt(estimatedConcurrency(attempt));
        boolean abandoned = attempt.outcome == AttemptOutcome.TIMED_OUT || attempt.outcome == AttemptOutcome.CANCELLED;
        if (attempt.outcome == AttemptOutcome.OK || abandoned && attempt.duration > expectedNanos * slowdown) {
            sums[0] += attempt.duration;
            sums[1] += expectedNanos;
        }
    }

    private ServerCondition conditionOf(List<CapturedAttempt> sent, double typical) {
        double[] sums = new double[2];
        Map<AttemptOutcome, Integer> countByOutcome = new LinkedHashMap<>();
        boolean anyOverdue = false;
        for (CapturedAttempt attempt : sent) {
            addObserved(sums, attempt, typical);
            if (attempt.outcome != null) {
                countByOutcome.merge(attempt.outcome, 1, Integer::sum);
                anyOverdue |= attempt.duration
                        > LOST_CALL_SLOWDOWN
                                * typical
                                * fitFor(attempt.requestClass).latencyAt(estimatedConcurrency(attempt));
            }
        }
        int abandoned = countByOutcome.getOrDefault(AttemptOutcome.TIMED_OUT, 0)
                + countByOutcome.getOrDefault(AttemptOutcome.CANCELLED, 0);
        double answered = countByOutcome.values().stream().mapToInt(i -> i).sum()
                - abandoned
                - countByOutcome.getOrDefault(AttemptOutcome.NOT_SENT, 0);
        if (answered == 0) {
            return abandoned > 0 && anyOverdue
                    ? new ServerCondition(typical, Double.POSITIVE_INFINITY, 0, 0, 0, true)
                    : ServerCondition.typical(sums[1] == 0 ? typical : estimateSlowdown(sums, typical));
        }
        double rejectedFraction = countByOutcome.getOrDefault(AttemptOutcome.FULL, 0) / answered;
        return new ServerCondition(
                estimateSlowdown(sums, typical),
                estimateCapacity(sent, rejectedFraction),
                countByOutcome.getOrDefault(AttemptOutcome.ERROR, 0) / answered,
                countByOutcome.getOrDefault(AttemptOutcome.CONNECT_FAILED, 0) / answered,
                countByOutcome.getOrDefault(AttemptOutcome.RESET, 0) / answered,
                false);
    }

    private double estimateSlowdown(double[] sums, double typical) {
        return (sums[0] + PRIOR_CALLS * typical * meanLatency()) / (sums[1] + PRIOR_CALLS * meanLatency());
    }

    private double estimateCapacity(List<CapturedAttempt> sent, double rejectedFraction) {
        if (rejectedFraction == 0 || rejectedFraction == 1) {
            return rejectedFraction == 0 ? Double.POSITIVE_INFINITY : 0;
        }
        double[] concurrencies =
                sent.stream().mapToDouble(this::estimatedConcurrency).sorted().toArray();
        return concurrencies[
                Math.min(concurrencies.length - 1, (int) Math.ceil((1 - rejectedFraction) * concurrencies.length))];
    }

    private double logDeviationOf(List<CapturedAttempt> served) {
        double[] logResiduals = served.stream()
                .mapToDouble(attempt -> Math.log(Math.max(1, attempt.duration)
                        / (conditionOf(attempt.endpointId, attempt.sentAt).slowdown
                                * Math.max(1, fitFor(attempt.requestClass).latencyAt(estimatedConcurrency(attempt))))))
                .toArray();
        double mean = Arrays.stream(logResiduals).average().orElse(0);
        return Math.sqrt(Arrays.stream(logResiduals)
                .map(residual -> (residual - mean) * (residual - mean))
                .average()
                .orElse(0));
    }

    /** Returns the condition of the server at this time. */
    ServerCondition conditionOf(String endpointId, long at) {
        long window = Math.floorDiv(at, CapturedAttempts.WINDOW_NANOS);
        TreeMap<Long, ServerCondition> conditions = conditionsByEndpoint.get(endpointId);
        Map.Entry<Long, ServerCondition> latest = conditions == null ? null : conditions.floorEntry(window);
        if (latest == null || window - latest.getKey() > CONDITION_VALID_WINDOWS) {
            return ServerCondition.typical(typicalSlowdown.getOrDefault(endpointId, 1.0));
        }
        return latest.getValue();
    }

    /** Returns the mean number of this node's attempts in flight at the server in the segment's first window. */
    double initialOutstanding(String endpointId) {
        return attempts.meanOutstanding(endpointId, segmentStart);
    }
}

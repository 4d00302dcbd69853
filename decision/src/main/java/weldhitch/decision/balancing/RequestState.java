package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import weldhitch.decision.event.RequestArrived;

/**
 * The state of a request from its arrival until it has its final response and no attempt in flight. Its natural order
 * is that of the admission queue: by {@link #rank}, highest first, then by arrival. Times are nanoseconds.
 * Mutable; owned by the balancer's thread.
 */
final class RequestState implements Comparable<RequestState> {
    final String id;
    final double priorityWeight;
    /** Priority weight per nanosecond of expected latency. */
    final double rank;

    final long sequence;
    final ClassLatencyModel classModel;
    /** Null if no route matches. */
    final RouteState route;
    /** Whether the route has shortened the deadline. */
    final boolean deadlineShortened;

    final long arrivedAt;
    final long deadline;
    /** The client's cost hint in seconds; 0 for none. */
    final double cost;

    final List<AttemptState> attempts = new ArrayList<>(2);
    /** The first attempt that was or may have been executed; null if it is certain that none was. */
    AttemptState firstPossiblyExecuted;
    /** Number of attempts in flight. */
    int outstandingCount;
    /** The zones whose endpoints may serve the request; null for any. */
    Set<String> allowedZones;

    boolean finished;
    boolean queued;
    boolean admitted;
    /** Time of the next wake-up; a timer that fires at another time is obsolete. */
    long wakeUpAt;

    RequestState(
            String id,
            ClassLatencyModel classModel,
            RouteState route,
            double priorityWeight,
            double rank,
            long sequence,
            long arrivedAt,
            long deadline,
            boolean deadlineShortened,
            double cost) {
        this.id = id;
        this.classModel = classModel;
        this.route = route;
        this.priorityWeight = priorityWeight;
        this.rank = rank;
        this.sequence = sequence;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.deadlineShortened = deadlineShortened;
        this.cost = cost;
    }

    static RequestState fromArrival(
            RequestArrived arrival,
            ClassLatencyModel classModel,
            RouteState route,
            double priorityWeight,
            long sequence,
            long now) {
        long deadline = route == null ? arrival.deadline() : route.deadline(now, arrival.deadline());
        RequestState request = new RequestState(
                arrival.requestId(),
                classModel,
                route,
                priorityWeight,
                priorityWeight / classModel.expectedLatency(arrival.cost()),
                sequence,
                now,
                deadline,
                deadline < arrival.deadline(),
                arrival.cost());
        request.allowedZones = arrival.allowedZones() == null ? null : Set.copyOf(arrival.allowedZones());
        return request;
    }

    @Override
    public int compareTo(RequestState other) {
        return rank != other.rank ? Double.compare(other.rank, rank) : Long.compare(sequence, other.sequence);
    }

    /** Returns the expected latency in nanoseconds. */
    double expectedLatency() {
        return classModel.expectedLatency(cost);
    }

    long hedgeDelay() {
        return classModel.hedgeDelay(cost);
    }

    AttemptState startAttempt(Endpoint endpoint, long now) {
        AttemptState attempt = new AttemptState(this, endpoint, attempts.size(), now);
        attempts.add(attempt);
        outstandingCount++;
        if (firstPossiblyExecuted == null) {
            firstPossiblyExecuted = attempt;
        }
        return attempt;
    }

    /** Returns the attempt with this number if it is in flight, otherwise null. */
    AttemptState outstandingAttempt(int number) {
        return number < 0 || number >= attempts.size() || attempts.get(number).ended ? null : attempts.get(number);
    }

    void attemptEnded(AttemptState attempt, boolean notExecuted) {
        attempt.ended = true;
        attempt.notExecuted = notExecuted;
        outstandingCount--;
        if (notExecuted && firstPossiblyExecuted == attempt) {
            firstPossiblyExecuted = null;
            for (AttemptState candidate : attempts) {
                if (firstPossiblyExecuted == null && !candidate.notExecuted) {
                    firstPossiblyExecuted = candidate;
                }
            }
        }
    }

    boolean allows(Endpoint endpoint) {
        return allowedZones == null || allowedZones.contains(endpoint.zone);
    }

    boolean hasAttempted(Endpoint endpoint) {
        for (AttemptState attempt : attempts) {
            if (attempt.endpoint == endpoint) {
                return true;
            }
        }
        return false;
    }
}

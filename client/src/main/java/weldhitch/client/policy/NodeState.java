package weldhitch.client.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The client's state of one node: attempts in flight, its Retry-After, whether it is ejected and since when, and how
 * many concurrent attempts it gets after an outage. Times are nanoseconds. Belongs to {@link CallStateMachine},
 * single-threaded.
 */
final class NodeState {
    /** Whether a node is available, ejected until the time of the next probe, or ejected with that probe in flight. */
    enum Availability {
        UP,
        EJECTED,
        PROBING
    }

    /** Concurrency window from which on a recovering node counts as recovered and is no longer limited. */
    private static final int FULLY_RECOVERED_WINDOW = 64;

    final String address;
    final Map<String, AdaptiveThrottle> throttles = new LinkedHashMap<>();
    int inFlight;
    /** End of the Retry-After that the node sent; it gets no attempts before that time. */
    long retryAfterUntil = Long.MIN_VALUE;

    Availability availability = Availability.UP;
    long ejectedSince;
    long probeAt;
    private int consecutiveFailures;
    /** Number of concurrent attempts allowed; unlimited unless the node is recovering. */
    private int concurrencyWindow = Integer.MAX_VALUE;

    NodeState(String address) {
        this.address = address;
    }

    /**
     * Returns the time in nanoseconds from which the node may get an attempt; {@code Long.MAX_VALUE} while a
     * probe is in flight.
     */
    long availableAt() {
        return availability == Availability.EJECTED
                ? Math.max(retryAfterUntil, probeAt)
                : availability == Availability.PROBING ? Long.MAX_VALUE : retryAfterUntil;
    }

    /** Returns whether the concurrency window allows another attempt. */
    boolean hasCapacity() {
        return inFlight < concurrencyWindow;
    }

    void onSent() {
        inFlight++;
        if (availability == Availability.EJECTED) {
            availability = Availability.PROBING;
        }
    }

    /** Records a response, even a rejection, which proves that the node is reachable. */
    void onResponse() {
        consecutiveFailures = 0;
        if (availability != Availability.UP) {
            availability = Availability.UP;
            concurrencyWindow = 1;
        }
    }

    /** Widens the window of a recovering node by one for each success, so that it doubles with each round trip. */
    void widenWindow() {
        concurrencyWindow = concurrencyWindow >= FULLY_RECOVERED_WINDOW ? Integer.MAX_VALUE : concurrencyWindow + 1;
    }

    /**
     * Counts a failure.
     *
     * @return whether the node must be ejected now
     */
    boolean recordFailure(int ejectionThreshold) {
        consecutiveFailures++;
        return availability == Availability.PROBING
                || availability == Availability.UP && consecutiveFailures >= ejectionThreshold;
    }

    /** Ejects the node until the time of the next probe. */
    void eject(long now, long nextProbeAt) {
        if (availability == Availability.UP) {
            ejectedSince = now;
        }
        availability = Availability.EJECTED;
        probeAt = nextProbeAt;
    }

    /** Records a Retry-After; of several, the latest end applies. */
    void honorRetryAfter(long until) {
        retryAfterUntil = Math.max(retryAfterUntil, until);
    }
}

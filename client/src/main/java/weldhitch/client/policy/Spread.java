package weldhitch.client.policy;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * When a client returns to a node that it has lost: at a moment drawn evenly from a window that is as long as the outage
 * has been (within bounds), so that all who lost it together come back spread over as long as they were without it.
 */
final class Spread {
    private final long first;
    private final long longest;

    Spread(long first, long longest) {
        this.first = first;
        this.longest = longest;
    }

    /** @param outage nanoseconds since the node was lost */
    long next(long outage, UniformRandomProvider random) {
        long window = Math.max(first, Math.min(longest, outage));
        // From a tenth on: who draws 0 time and again would dial without end.
        return (long) (window * (0.1 + 0.9 * random.nextDouble()));
    }
}

package weldhitch.client.policy;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Jitter of reconnects to a lost node: uniform over a window as long as the outage has been (within bounds), so
 * that all clients that lost it together come back spread over as long as it was away. Immutable.
 */
final class ReconnectJitter {
    private final long minWindow;
    private final long maxWindow;

    ReconnectJitter(long minWindow, long maxWindow) {
        this.minWindow = minWindow;
        this.maxWindow = maxWindow;
    }

    /**
     * Draws the delay until the next probe, in nanoseconds.
     *
     * @param outage nanoseconds since the node was lost
     */
    long nextDelay(long outage, UniformRandomProvider random) {
        long window = Math.max(minWindow, Math.min(maxWindow, outage));
        // At least a tenth of the window: draws near 0 in a row would make the client reconnect in a tight
        // loop.
        return (long) (window * (0.1 + 0.9 * random.nextDouble()));
    }
}

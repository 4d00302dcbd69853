package weldhitch.client.policy;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Spreads reconnects to a lost node: draws each delay uniformly from a window as long as the outage so far (within
 * bounds), so that the clients that lost the node together do not return together. Immutable.
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
        // The delay is at least a tenth of the window, because several draws near 0 in a row would make the client
        // reconnect in a tight loop.
        return (long) (window * (0.1 + 0.9 * random.nextDouble()));
    }
}

package weldhitch.client.policy;

/**
 * Client-side adaptive throttling, for one node and request class: rejects locally with probability max(0,
 * (requests - K accepts - 5) / (requests + 1)), over counts that decay exponentially (Beyer et al., Site
 * Reliability Engineering, chapter 21, "Client-Side Throttling"; the 5 is this project's, as one rejection of
 * one request would otherwise throttle half of what comes next). A request counts when it is rejected, accepted
 * or throttled: while its response is outstanding nothing is known. Single-threaded.
 */
final class Throttle {
    /** Time constant of the decay in nanoseconds. */
    private static final double FADE = 30e9;

    private static final double FREE = 5;

    private final double k;
    private double requests;
    private double accepts;
    private long at;

    Throttle(double k) {
        this.k = k;
    }

    /** The probability with which to reject locally now. */
    double chance(long now) {
        fade(now);
        return Math.max(0, (requests - k * accepts - FREE) / (requests + 1));
    }

    /** The node rejected a request, or it was throttled here. */
    void turnedAway(long now) {
        fade(now);
        requests++;
    }

    /** The node accepted a request, whatever its result. */
    void accept(long now) {
        fade(now);
        requests++;
        accepts++;
    }

    private void fade(long now) {
        if (now > at) {
            double left = Math.exp((at - now) / FADE);
            requests *= left;
            accepts *= left;
            at = now;
        }
    }
}

package weldhitch.client.policy;

/**
 * How much of what a client asks of a node it keeps back itself: max(0, (requests - K accepts - 5) / (requests + 1)), over
 * counts that fade (Beyer et al., Site Reliability Engineering, chapter 21, "Client-Side Throttling"; the 5 is this
 * project's, as one refusal of one request would else keep back half of what comes next). A request counts when it is
 * refused, taken on, or kept back: while its answer is out nothing is known.
 */
final class Throttle {
    /** In which a count loses most of its height, nanoseconds. */
    private static final double FADE = 30e9;

    private static final double FREE = 5;

    private final double k;
    private double requests;
    private double accepts;
    private long at;

    Throttle(double k) {
        this.k = k;
    }

    double chance(long now) {
        fade(now);
        return Math.max(0, (requests - k * accepts - FREE) / (requests + 1));
    }

    /** It was refused, or kept back here. */
    void turnedAway(long now) {
        fade(now);
        requests++;
    }

    /** The node took it on, whatever came of it. */
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

package weldhitch.client.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the client knows of one node: calls out, whether it asked for quiet, whether it is set aside and since when, and
 * how much it takes again after an outage. Times are nanoseconds.
 */
final class NodeState {
    /** Up; set aside until the time of the next probe; or with that probe out. */
    enum Standing { UP, ASIDE, PROBED }

    /** Above so many calls at once a node that came back is as any other. */
    private static final int RECOVERED = 64;

    final String address;
    final Map<String, Throttle> throttles = new LinkedHashMap<>();
    int out;
    /** It has said when to come again; before that nothing goes there. */
    long quietUntil = Long.MIN_VALUE;
    Standing standing = Standing.UP;
    long downSince;
    long probeAt;
    private int failures;
    /** Calls at once that it is given; all where it is not recovering. */
    private int window = Integer.MAX_VALUE;

    NodeState(String address) {
        this.address = address;
    }

    /** Nanoseconds at which it may be tried; at most {@code now} where it may be now. */
    long freeAt() {
        return standing == Standing.ASIDE ? Math.max(quietUntil, probeAt) : standing == Standing.PROBED ? Long.MAX_VALUE : quietUntil;
    }

    boolean hasRoom() {
        return out < window;
    }

    void sent() {
        out++;
        if (standing == Standing.ASIDE) {
            standing = Standing.PROBED;
        }
    }

    /** It has answered, if only to refuse: it is there. */
    void alive() {
        failures = 0;
        if (standing != Standing.UP) {
            standing = Standing.UP;
            window = 1;
        }
    }

    /** Something came back well; a node that recovers is given more, twice as much with each round. */
    void served() {
        window = window >= RECOVERED ? Integer.MAX_VALUE : window + 1;
    }

    /** @return whether it is now to be set aside */
    boolean failed(int openAfter) {
        failures++;
        return standing == Standing.PROBED || standing == Standing.UP && failures >= openAfter;
    }

    void setAside(long now, long probe) {
        if (standing == Standing.UP) {
            downSince = now;
        }
        standing = Standing.ASIDE;
        probeAt = probe;
    }

    void quiet(long until) {
        quietUntil = Math.max(quietUntil, until);
    }
}

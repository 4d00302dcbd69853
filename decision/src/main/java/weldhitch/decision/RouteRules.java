package weldhitch.decision;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import weldhitch.decision.Balancing.Outcome;

/**
 * What an operator allows the requests of one route; it narrows what the platform allows and never widens it. Spans
 * are nanoseconds; a part that is null, or a figure of 0 where said so, leaves the platform's or the module's own.
 *
 * @param deadline the longest time from arrival to the final answer; 0 for the caller's own
 * @param attemptTimeout the longest time of one attempt; 0 for none of its own
 * @param attempts attempts at most, the first included; 0 for the platform's
 * @param backoff waits between attempts, or null
 * @param retryOn after which outcomes a further attempt may go out, where the effect of the class allows it
 * @param budget what further attempts may cost, or null for the module's own
 * @param hedge when a second copy of a safe request goes out, or null for the module's own
 * @param retryAfter bounds of the advice given with a refusal, or null
 * @param tenants requests a second by tenant over all nodes; {@code *} is all others together
 */
public record RouteRules(long deadline, long attemptTimeout, int attempts, Backoff backoff, Set<Outcome> retryOn,
        Budget budget, Hedge hedge, Bounds retryAfter, Map<String, Double> tenants) {
    /** Outcomes that an operator may name; the others are no outcome of a server. */
    public static final Set<Outcome> RETRYABLE = Collections.unmodifiableSet(EnumSet.of(Outcome.CONNECT_FAILED, Outcome.FULL,
        Outcome.RESET, Outcome.TIMED_OUT, Outcome.ERROR));
    /** Narrows nothing. */
    public static final RouteRules NONE = new RouteRules(0, 0, 0, null, RETRYABLE, null, null, null, Map.of());

    public RouteRules {
        // In an order that is the same in every run, as these are saved and compared.
        EnumSet<Outcome> outcomes = EnumSet.noneOf(Outcome.class);
        outcomes.addAll(retryOn);
        retryOn = Collections.unmodifiableSet(outcomes);
        tenants = Collections.unmodifiableMap(new TreeMap<>(tenants));
        if (deadline < 0 || attemptTimeout < 0 || attempts < 0) {
            throw new IllegalArgumentException("a span or count below 0");
        }
    }

    /**
     * Waits of full jitter: before the n-th further attempt any time from 0 to {@code base * 2^(n-1)}, at most
     * {@code max} (Brooker, "Exponential Backoff And Jitter", 2015).
     */
    public record Backoff(long base, long max) {
        public Backoff {
            require(base > 0 && max >= base, "base from 1 ns, max from base");
        }

        /** The longest wait before further attempt {@code n}, counted from 1. */
        public long ceiling(int n) {
            return n > 40 || base > max >> Math.min(n - 1, 62) ? max : Math.min(max, base << (n - 1));
        }
    }

    /**
     * Further attempts in any ten seconds: {@code share} of the requests of that time, and {@code floor} a second
     * besides (after Finagle's RetryBudget). Each route has its own.
     */
    public record Budget(double share, double floor) {
        public Budget {
            require(share >= 0 && share <= 10 && floor >= 0, "share from 0 to 10, floor from 0");
        }
    }

    /** A second copy after a fixed time, after a percentile of the route's own latency, or never. */
    public sealed interface Hedge permits HedgeAfter, HedgePercentile, HedgeOff {
    }

    /** After {@code delay} nanoseconds without an answer. */
    public record HedgeAfter(long delay) implements Hedge {
        public HedgeAfter {
            require(delay > 0, "delay from 1 ns");
        }
    }

    /** After the given percentile, 50 to 99, of the last answers; none goes out before enough of them have come. */
    public record HedgePercentile(double percentile) implements Hedge {
        public HedgePercentile {
            require(percentile >= 50 && percentile <= 99, "percentile from 50 to 99");
        }

        /** Answers that it takes until ten are expected beyond the percentile. */
        public int samples() {
            return (int) Math.ceil(1000 / (100 - percentile));
        }
    }

    /** No second copies. */
    public record HedgeOff() implements Hedge {
    }

    /** A least and a most, in nanoseconds. */
    public record Bounds(long min, long max) {
        public Bounds {
            require(min >= 0 && max >= min, "min from 0, max from min");
        }

        long hold(long span) {
            return Math.max(min, Math.min(max, span));
        }
    }

    private static void require(boolean sound, String wanted) {
        if (!sound) {
            throw new IllegalArgumentException("wanted: " + Objects.requireNonNull(wanted));
        }
    }
}

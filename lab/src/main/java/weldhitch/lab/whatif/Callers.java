package weldhitch.lab.whatif;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import weldhitch.capture.format.Entry;
import weldhitch.decision.Balancing.*;

/**
 * The retry behaviour of clients, estimated from a segment of a capture. A capture does not tell to which
 * request a retry belongs, and it may come to another node; as the front end distributes evenly, as many come
 * here as go elsewhere. In the rerun with the captured rules the captured retries arrive. With other rules
 * fewer of them arrive, in proportion, if fewer requests in that second were unserved, and more if more were:
 * each request beyond the number with the captured rules is retried with one probability, the ratio of retries
 * to unserved requests, by class, and over all classes if a class had few. So the errors that the model makes
 * in both reruns cancel out. The backoff of clients is not in a capture: it is assumed to be uniform up to
 * 200 ms. Requests that must not run twice are retried only after a rejection. Read only once built.
 */
final class Callers {
    /** With fewer unserved requests than this a class uses the ratio over all classes. */
    private static final int FEW = 30;
    /** Upper bound of the assumed backoff, in nanoseconds. */
    private static final double LONGEST_WAIT = 200e6;
    /**
     * Maximum number of retries of one request, as unlimited retries would never end; real clients make up to
     * three.
     */
    private static final int MOST = 3;

    /** Unserved requests and retries of one class, or of all. */
    private static final class Count {
        long unserved;
        long retries;
        /** Time from the arrival of each retry to its deadline, in nanoseconds. */
        final List<Long> spans = new ArrayList<>();

        double again() {
            return unserved == 0 ? 0 : Math.min(1, (double) retries / unserved);
        }
    }

    private final Map<String, Count> classes = new LinkedHashMap<>();
    private final Map<String, Boolean> safe = new LinkedHashMap<>();
    private final Count all = new Count();

    Callers(Stretch stretch) {
        stretch.begin().settings().classes().forEach(c -> safe.put(c.name(), c.effect() == Effect.SAFE));
        Map<String, String> open = new LinkedHashMap<>();
        for (Entry.Told told : stretch.events()) {
            if (told.event() instanceof Arrival a) {
                if (open.putIfAbsent(a.request(), String.valueOf(a.requestClass())) == null && a.clientRetry()) {
                    count(a.requestClass()).retries++;
                    all.retries++;
                    count(a.requestClass()).spans.add(a.deadline() - told.now());
                }
            } else if (told.event() instanceof ClientGone gone) {
                unserved(open.remove(gone.request()), false);
            } else if (told.event() instanceof AttemptEnded e && e.finished()) {
                open.remove(e.request());
            }
            for (Action action : told.actions()) {
                if (action instanceof Refuse refuse) {
                    unserved(open.remove(refuse.request()), true);
                } else if (action instanceof Fail fail) {
                    unserved(open.remove(fail.request()), false);
                }
            }
        }
    }

    private Count count(String requestClass) {
        return classes.computeIfAbsent(String.valueOf(requestClass), c -> new Count());
    }

    private void unserved(String requestClass, boolean refused) {
        if (requestClass != null && (refused || isSafe(requestClass))) {
            count(requestClass).unserved++;
            all.unserved++;
        }
    }

    private boolean isSafe(String requestClass) {
        return safe.getOrDefault(String.valueOf(requestClass), false);
    }

    /** The probability that an unserved request of the class is retried. */
    double again(String requestClass) {
        Count of = classes.get(String.valueOf(requestClass));
        return of == null || of.unserved < FEW ? all.again() : of.again();
    }

    /**
     * Draws whether, and when, the client of an unserved request retries.
     *
     * @param refused whether it was rejected; otherwise it failed or was abandoned
     * @param tries sent so far
     * @param left nanoseconds until the deadline of the request
     * @param random the generator of this request alone
     * @return nanoseconds to wait, and nanoseconds from then to the deadline; null for no retry
     */
    long[] next(String requestClass, boolean refused, int tries, long left, UniformRandomProvider random) {
        double chance = random.nextDouble();
        long wait = (long) (random.nextDouble() * LONGEST_WAIT);
        double which = random.nextDouble();
        if (tries > MOST || !refused && !isSafe(requestClass) || chance >= again(requestClass)) {
            return null;
        }
        Count of = classes.get(String.valueOf(requestClass));
        long span = of == null || of.spans.isEmpty() ? left - wait : of.spans.get((int) (which * of.spans.size()));
        return span <= 0 ? null : new long[] {wait, span};
    }
}

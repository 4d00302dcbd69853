package weldhitch.lab.whatif;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import weldhitch.capture.format.Entry;
import weldhitch.decision.Balancing.*;

/**
 * How callers come again, by a stretch of a capture. A retry can't be told to which request it belongs, and may come to
 * another node; as the front deals evenly, as many come here as go elsewhere. By the captured rules the captured retries
 * come. By others, as many fewer as fewer requests in that second got no service, and more where more did: each request
 * beyond the number by the captured rules is asked again with one probability, retries by requests without service, by class,
 * and over all classes where a class had few. So what the model gets wrong in both plays cancels out. How long a caller
 * waits is not in a capture: evenly up to 200 ms is taken. Requests that must not run twice are asked again after a refusal
 * alone.
 */
final class Callers {
    private static final int FEW = 30;
    private static final double LONGEST_WAIT = 200e6;
    /** A caller that asks on and on would never be done; the users' ask up to three times more. */
    private static final int MOST = 3;

    private static final class Count {
        long unserved;
        long retries;
        /** Nanoseconds that retries left to answer in. */
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

    /** How likely a request of the class that got no service is asked again. */
    double again(String requestClass) {
        Count of = classes.get(String.valueOf(requestClass));
        return of == null || of.unserved < FEW ? all.again() : of.again();
    }

    /**
     * What a caller does that got no service.
     *
     * @param tries so far
     * @param left nanoseconds of the request's own time
     * @param random the request's own
     * @return nanoseconds to wait and to leave for the answer; null where it asks no more
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

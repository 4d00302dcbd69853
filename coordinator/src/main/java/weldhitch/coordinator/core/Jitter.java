package weldhitch.coordinator.core;

import java.util.SplittableRandom;

/**
 * The random delays of one coordinator, all from one seeded generator: the order of the calls determines the
 * delays, so a run is reproducible.
 *
 * <p>Not thread-safe; shared by the collaborators of one {@link CoordinatorCore}.
 */
final class Jitter {
    private final SplittableRandom random;

    Jitter(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Returns a random first election term, far from those of earlier starts with high probability. */
    long firstTerm() {
        return random.nextLong() >>> 16;
    }

    /** Returns a random delay from 0 to below {@code span}; 0, without a draw, if the span is not positive. */
    long below(long span) {
        return span <= 0 ? 0 : random.nextLong(span);
    }
}

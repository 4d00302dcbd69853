package weldhitch.coordinator.core;

import java.util.SplittableRandom;

/**
 * Generates the random delays of one coordinator from a single seeded generator. The order of the calls determines the
 * delays, so a run is reproducible.
 *
 * <p>Not thread-safe; shared by the classes that one {@link CoordinatorCore} consists of.
 */
final class Jitter {
    private final SplittableRandom random;

    Jitter(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Returns a random first election term, which with high probability is far from those of earlier starts. */
    long firstTerm() {
        return random.nextLong() >>> 16;
    }

    /** Returns a random delay in [0, span); 0, without drawing a number, if {@code span} is not positive. */
    long below(long span) {
        return span <= 0 ? 0 : random.nextLong(span);
    }
}

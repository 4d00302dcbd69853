package weldhitch.decision;

import org.apache.commons.rng.core.RandomProviderDefaultState;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * Chance from a seed, whose state can be saved. SplitMix64 (Steele, Lea, Flood, "Fast splittable pseudorandom number
 * generators", 2014) gives the numbers that {@link java.util.SplittableRandom} gives for the same seed, bit for bit.
 */
final class SeededRandom {
    private final SplitMix64 source;

    SeededRandom(long seed) {
        source = new SplitMix64(seed);
    }

    /** @throws IllegalArgumentException where these bytes are no state of it */
    SeededRandom(byte[] saved) {
        this(0);
        try {
            source.restoreState(new RandomProviderDefaultState(saved));
        } catch (IllegalStateException e) {
            throw new IllegalArgumentException("snapshot: random: " + saved.length + " bytes that are no state of SplitMix64", e);
        }
    }

    /** From 0 to 1, 1 left out. */
    double nextDouble() {
        return source.nextDouble();
    }

    byte[] save() {
        return ((RandomProviderDefaultState) source.saveState()).getState();
    }
}

package weldhitch.decision.random;

import org.apache.commons.rng.core.RandomProviderDefaultState;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * A pseudorandom number generator whose state can be saved. It uses SplitMix64 (Steele, Lea, Flood, "Fast splittable
 * pseudorandom number generators", 2014), which yields the same numbers as {@link java.util.SplittableRandom} for the
 * same seed, bit for bit. Not thread-safe; each owner has its own instance.
 */
public final class SeededRandom {
    private final SplitMix64 source;

    /** Creates a generator whose numbers are determined by {@code seed}. */
    public SeededRandom(long seed) {
        source = new SplitMix64(seed);
    }

    /**
     * Restores a generator from a saved state.
     *
     * @throws IllegalArgumentException if the bytes are not a state of this generator
     */
    public SeededRandom(byte[] savedState) {
        this(0);
        try {
            source.restoreState(new RandomProviderDefaultState(savedState));
        } catch (IllegalStateException e) {
            throw new IllegalArgumentException(
                    "snapshot: random: found " + savedState.length + " bytes, expected a saved state of SplitMix64", e);
        }
    }

    /** Returns a number from 0 inclusive to 1 exclusive. */
    public double nextDouble() {
        return source.nextDouble();
    }

    /** Returns the state, from which a generator can be restored. */
    public byte[] save() {
        return ((RandomProviderDefaultState) source.saveState()).getState();
    }
}

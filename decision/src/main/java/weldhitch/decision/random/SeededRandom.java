package weldhitch.decision.random;

import org.apache.commons.rng.core.RandomProviderDefaultState;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * A pseudorandom number generator whose state can be saved. SplitMix64 (Steele, Lea, Flood, "Fast splittable
 * pseudorandom number generators", 2014) yields the same numbers as {@link java.util.SplittableRandom} for the
 * same seed, bit for bit. Not thread-safe; each owner has its own.
 */
public final class SeededRandom {
    private final SplitMix64 source;

    /** Creates a generator whose draws {@code seed} determines. */
    public SeededRandom(long seed) {
        source = new SplitMix64(seed);
    }

    /**
     * Restores a generator.
     *
     * @throws IllegalArgumentException if the bytes are not a state of this generator
     */
    public SeededRandom(byte[] savedState) {
        this(0);
        try {
            source.restoreState(new RandomProviderDefaultState(savedState));
        } catch (IllegalStateException e) {
            throw new IllegalArgumentException(
                    "snapshot: random: " + savedState.length + " bytes that are no state of SplitMix64", e);
        }
    }

    /** Returns a number from 0 inclusive to 1 exclusive. */
    public double nextDouble() {
        return source.nextDouble();
    }

    /** Returns the state, for the constructor that restores it. */
    public byte[] save() {
        return ((RandomProviderDefaultState) source.saveState()).getState();
    }
}

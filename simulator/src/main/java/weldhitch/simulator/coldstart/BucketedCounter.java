package weldhitch.simulator.coldstart;

import java.util.Arrays;

/** A counter in buckets of a tenth of a second of virtual time. Not thread-safe. Times are nanoseconds from 0. */
final class BucketedCounter {
    private static final long BUCKET_NANOS = 100_000_000L;

    private long[] counts = new long[64];
    private int bucketCount;

    /** Adds {@code count} to the bucket of this time. */
    void add(long at, long count) {
        int bucket = (int) (at / BUCKET_NANOS);
        if (bucket >= counts.length) {
            counts = Arrays.copyOf(counts, Math.max(2 * counts.length, bucket + 1));
        }
        counts[bucket] += count;
        bucketCount = Math.max(bucketCount, bucket + 1);
    }

    /** Returns the maximum of all buckets from the one that contains {@code from} on; 0 if there are none. */
    long peak(long from) {
        return Arrays.stream(counts, Math.min(bucketCount, (int) (from / BUCKET_NANOS)), bucketCount)
                .max()
                .orElse(0);
    }

    /**
     * Returns the sum of the buckets from the one that contains {@code from}, inclusive, to the one that contains
     * {@code to}, exclusive.
     */
    long sumBetween(long from, long to) {
        return Arrays.stream(counts, Math.min(bucketCount, (int) (from / BUCKET_NANOS)), Math.min(bucketCount, (int)
                        (to / BUCKET_NANOS)))
                .sum();
    }
}

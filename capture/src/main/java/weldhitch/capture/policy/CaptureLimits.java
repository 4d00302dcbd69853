package weldhitch.capture.policy;

/**
 * The operator's limits for a capture: sizes, ages and the snapshot interval. Durations are nanoseconds.
 * Immutable.
 *
 * @param maxSegmentBytes size at which a new segment is started, 64 KiB to 16 GiB
 * @param maxSegmentAge age at which a new segment is started, at least 1 s
 * @param maxTotalBytes limit for all segments together, at least twice {@code maxSegmentBytes}
 * @param snapshotInterval maximum time between snapshots while events arrive, at least 1 s
 * @param queueCapacity number of entries that may wait for the writer: a power of two from 64 to 1,048,576
 */
public record CaptureLimits(
        long maxSegmentBytes, long maxSegmentAge, long maxTotalBytes, long snapshotInterval, int queueCapacity) {
    public static final long NANOS_PER_SECOND = 1_000_000_000L;
    public static final long MIN_SEGMENT_BYTES = 64 << 10;
    public static final long MAX_SEGMENT_BYTES = 16L << 30;

    /** Validates the limits. */
    public CaptureLimits {
        require(
                maxSegmentBytes >= MIN_SEGMENT_BYTES && maxSegmentBytes <= MAX_SEGMENT_BYTES,
                "segmentBytes from 64 KiB to 16 GiB");
        require(maxSegmentAge >= NANOS_PER_SECOND, "segmentAge of at least 1 s");
        require(maxTotalBytes >= 2 * maxSegmentBytes, "totalBytes of at least twice segmentBytes");
        require(snapshotInterval >= NANOS_PER_SECOND, "snapshotEvery of at least 1 s");
        require(
                queueCapacity >= 64 && queueCapacity <= 1 << 20 && Integer.bitCount(queueCapacity) == 1,
                "queue size that is a power of two from 64 to 1048576");
    }

    private static void require(boolean valid, String expected) {
        if (!valid) {
            throw new IllegalArgumentException("expected " + expected);
        }
    }
}

package weldhitch.capture.policy;

/**
 * What an operator wants captured, and how much may be kept of it. Spans are nanoseconds.
 *
 * @param segmentBytes a new segment begins where one is longer, 64 KiB to 16 GiB
 * @param segmentAge or older
 * @param totalBytes all segments together at most, at least twice one's
 * @param snapshotEvery a snapshot at least so often while events come, from 1 s
 * @param queue entries that may wait for the writer, 64 to 1,048,576, a power of two
 */
public record CaptureRules(long segmentBytes, long segmentAge, long totalBytes, long snapshotEvery, int queue) {
    public static final long SECOND = 1_000_000_000L;
    public static final long LEAST_SEGMENT = 64 << 10;
    public static final long MOST_SEGMENT = 16L << 30;

    public CaptureRules {
        require(segmentBytes >= LEAST_SEGMENT && segmentBytes <= MOST_SEGMENT, "segmentBytes from 64 KiB to 16 GiB");
        require(segmentAge >= SECOND, "segmentAge from 1 s");
        require(totalBytes >= 2 * segmentBytes, "totalBytes from twice segmentBytes");
        require(snapshotEvery >= SECOND, "snapshotEvery from 1 s");
        require(queue >= 64 && queue <= 1 << 20 && Integer.bitCount(queue) == 1, "queue a power of two from 64 to 1048576");
    }

    private static void require(boolean sound, String wanted) {
        if (!sound) {
            throw new IllegalArgumentException("wanted: " + wanted);
        }
    }
}

package weldhitch.capture.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which segments the writer deletes so that all of them together stay within their size limit. The
 * oldest are deleted first, the current one never. Stateless and thread-safe.
 */
public final class RetentionPolicy {
    private RetentionPolicy() {}

    /**
     * A segment and its size. Immutable.
     *
     * @param segment the caller's identifier of the segment
     */
    public record SegmentSize<T>(T segment, long bytes) {}

    /**
     * Returns the segments to delete, the oldest first.
     *
     * @param segments the oldest first, the current one last
     * @param totalBytes limit for all segments together
     * @param reservedBytes number of bytes that the current segment may still grow by
     */
    public static <T> List<T> segmentsToDelete(List<SegmentSize<T>> segments, long totalBytes, long reservedBytes) {
        long total =
                reservedBytes + segments.stream().mapToLong(SegmentSize::bytes).sum();
        List<T> deletable = new ArrayList<>();
        for (int i = 0; i < segments.size() - 1 && total > totalBytes; i++) {
            deletable.add(segments.get(i).segment());
            total -= segments.get(i).bytes();
        }
        return deletable;
    }
}

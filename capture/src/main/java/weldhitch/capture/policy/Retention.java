package weldhitch.capture.policy;

import java.util.ArrayList;
import java.util.List;

/** Decides which segments go, so that all of them keep within their bound: the oldest first, never the one in use. */
public final class Retention {
    private Retention() {
    }

    /** A segment, whatever stands for it, and its bytes. */
    public record Kept<T>(T segment, long bytes) {
    }

    /**
     * @param segments the oldest first, the last one in use
     * @param room bytes that the one in use may yet grow by
     */
    public static <T> List<T> leaving(List<Kept<T>> segments, long totalBytes, long room) {
        long total = room + segments.stream().mapToLong(Kept::bytes).sum();
        List<T> leaving = new ArrayList<>();
        for (int i = 0; i < segments.size() - 1 && total > totalBytes; i++) {
            leaving.add(segments.get(i).segment());
            total -= segments.get(i).bytes();
        }
        return leaving;
    }
}

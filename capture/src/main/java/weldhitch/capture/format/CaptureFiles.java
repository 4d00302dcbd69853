package weldhitch.capture.format;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The segment files of a capture: their names, how they are found in a directory, and reading them in order.
 * Stateless and thread-safe.
 */
public final class CaptureFiles {
    private static final Pattern SEGMENT_NAME = Pattern.compile("weldhitch-(\\d{13,19})-(\\d{6,18})\\.cap");

    private CaptureFiles() {}

    /**
     * A segment file, as its name describes it. Immutable.
     *
     * @param startedAtMillis time at which it was started, in milliseconds since the epoch
     * @param number its number in the directory, from 1
     */
    public record SegmentFile(Path path, long startedAtMillis, long number) {
        /** Returns the segment with this file's name, or null if the file is not named like a segment. */
        public static SegmentFile parse(Path path) {
            Matcher matcher = SEGMENT_NAME.matcher(path.getFileName().toString());
            return matcher.matches()
                    ? new SegmentFile(path, Long.parseLong(matcher.group(1)), Long.parseLong(matcher.group(2)))
                    : null;
        }

        static SegmentFile create(Path directory, long startedAtMillis, long number) {
            return new SegmentFile(
                    directory.resolve(String.format("weldhitch-%013d-%06d.cap", startedAtMillis, number)),
                    startedAtMillis,
                    number);
        }

        /** Returns the segment that follows this one in the same directory. */
        public SegmentFile successor(long startedAtMillis) {
            return create(path.getParent(), startedAtMillis, number + 1);
        }
    }

    /** Returns the first segment of an empty directory; the file is not created. */
    public static SegmentFile firstSegment(Path directory, long startedAtMillis) {
        return SegmentFile.create(directory, startedAtMillis, 1);
    }

    /** Returns the segments of a directory, the oldest first. */
    public static List<SegmentFile> segmentsIn(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(SegmentFile::parse)
                    .filter(s -> s != null)
                    .sorted(Comparator.comparingLong(SegmentFile::number))
                    .toList();
        }
    }

    /**
     * Reads the given files in order. For a directory, reads its segments, the oldest first.
     *
     * @throws CaptureFormatException if a file is not a capture of this format
     */
    public static void read(Collection<Path> paths, Consumer<CaptureEntry> sink) throws IOException {
        List<Path> files = new ArrayList<>();
        for (Path path : paths) {
            if (Files.isDirectory(path)) {
                List<SegmentFile> segments = segmentsIn(path);
                if (segments.isEmpty()) {
                    throw new NoSuchFileException(path.toString(), null, "contains no capture segments");
                }
                segments.forEach(s -> files.add(s.path()));
            } else {
                files.add(path);
            }
        }
        for (Path file : files) {
            SegmentReader.read(file, sink);
        }
    }
}

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

/** The segments of a capture: how they are called, found and read one after another. */
public final class CaptureFiles {
    private static final Pattern NAME = Pattern.compile("weldhitch-(\\d{13,19})-(\\d{6,18})\\.cap");

    private CaptureFiles() {
    }

    /** A segment by its name: when it was begun, milliseconds since the epoch, and its number in the directory. */
    public record Segment(Path file, long begunMillis, long number) {
        /** Null where a file of this name is no segment. */
        public static Segment of(Path file) {
            Matcher name = NAME.matcher(file.getFileName().toString());
            return name.matches() ? new Segment(file, Long.parseLong(name.group(1)), Long.parseLong(name.group(2))) : null;
        }

        static Segment named(Path directory, long begunMillis, long number) {
            return new Segment(directory.resolve(String.format("weldhitch-%013d-%06d.cap", begunMillis, number)),
                begunMillis, number);
        }

        /** The one after this one. */
        public Segment next(long begunMillis) {
            return named(file.getParent(), begunMillis, number + 1);
        }
    }

    /** The segment that a directory's first one is called. */
    public static Segment first(Path directory, long begunMillis) {
        return Segment.named(directory, begunMillis, 1);
    }

    /** The segments of a directory, the oldest first. */
    public static List<Segment> in(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(Segment::of).filter(s -> s != null).sorted(Comparator.comparingLong(Segment::number)).toList();
        }
    }

    /**
     * Reads files in the order given, and directories' segments in their order.
     *
     * @throws CaptureFormatException where a file is no capture of this format
     */
    public static void read(Collection<Path> paths, Consumer<Entry> to) throws IOException {
        List<Path> files = new ArrayList<>();
        for (Path path : paths) {
            if (Files.isDirectory(path)) {
                List<Segment> segments = in(path);
                if (segments.isEmpty()) {
                    throw new NoSuchFileException(path.toString(), null, "holds no segments of a capture");
                }
                segments.forEach(s -> files.add(s.file()));
            } else {
                files.add(path);
            }
        }
        for (Path file : files) {
            SegmentReader.read(file, to);
        }
    }
}

package weldhitch.capture.format;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import weldhitch.capture.format.CaptureFiles.SegmentFile;

/**
 * Writes {@code manifest.json}, which lists a directory's segments for people and for tools that ship them
 * elsewhere: each with its number, its start time and, once it is closed, its size in bytes. Readers of
 * captures do not need it. It is replaced atomically by a rename. Stateless; called on the writer thread.
 */
public final class Manifest {
    static final String FILE_NAME = "manifest.json";

    private Manifest() {}

    /**
     * Writes and syncs the manifest, replacing the previous one.
     *
     * @param segments the oldest first, the current one last
     */
    public static void write(Path directory, List<SegmentFile> segments) throws IOException {
        ObjectNode manifest = JsonNodeFactory.instance.objectNode().put("format", BlockFormat.FORMAT_VERSION);
        ArrayNode entries = manifest.putArray("segments");
        for (SegmentFile segment : segments) {
            ObjectNode entry = entries.addObject()
                    .put("file", segment.path().getFileName().toString())
                    .put("number", segment.number())
                    .put("begunMillis", segment.startedAtMillis());
            boolean inUse = segment == segments.get(segments.size() - 1);
            entry.put("ended", !inUse);
            if (!inUse) {
                entry.put("bytes", Files.size(segment.path()));
            }
        }
        Path temporaryFile = directory.resolve(FILE_NAME + ".new");
        try (FileChannel channel = FileChannel.open(
                temporaryFile,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(
                    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(manifest));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
        Files.move(
                temporaryFile,
                directory.resolve(FILE_NAME),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }
}

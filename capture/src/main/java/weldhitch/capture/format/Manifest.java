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
import weldhitch.capture.format.CaptureFiles.Segment;

/**
 * What a directory holds, as JSON, for people and for what ships segments elsewhere: each with its number, when it was
 * begun and, once it has ended, its bytes. Readers of captures don't need it. Put in place whole, by a rename.
 */
public final class Manifest {
    static final String NAME = "manifest.json";

    private Manifest() {
    }

    /** @param segments the oldest first, the last one in use */
    public static void write(Path directory, List<Segment> segments) throws IOException {
        ObjectNode all = JsonNodeFactory.instance.objectNode().put("format", Blocks.FORMAT);
        ArrayNode list = all.putArray("segments");
        for (Segment segment : segments) {
            ObjectNode one = list.addObject().put("file", segment.file().getFileName().toString()).put("number", segment.number())
                .put("begunMillis", segment.begunMillis());
            boolean inUse = segment == segments.get(segments.size() - 1);
            one.put("ended", !inUse);
            if (!inUse) {
                one.put("bytes", Files.size(segment.file()));
            }
        }
        Path beside = directory.resolve(NAME + ".new");
        try (FileChannel file = FileChannel.open(beside, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(all));
            while (bytes.hasRemaining()) {
                file.write(bytes);
            }
            file.force(true);
        }
        Files.move(beside, directory.resolve(NAME), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}

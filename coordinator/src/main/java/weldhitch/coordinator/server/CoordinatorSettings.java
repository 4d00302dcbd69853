package weldhitch.coordinator.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import weldhitch.coordinator.core.MissingMemberPolicy;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.error.FleetError.InvalidSetting;
import weldhitch.routeconfig.BoundedFileReader;
import weldhitch.routeconfig.TomlDocument;
import weldhitch.routeconfig.TomlSyntaxException;

/**
 * The validated configuration of a coordinator. Immutable.
 *
 * @param listen a loopback address
 * @param coordinators addresses of all coordinators by name, this one included; 1, 3 or 5 entries
 * @param directory contains the state log, and {@code versions}, where operators submit files
 * @param missingMemberPolicy how a version is decided when a member does not vote
 */
public record CoordinatorSettings(
        String name,
        String cluster,
        InetSocketAddress listen,
        Map<String, InetSocketAddress> coordinators,
        Path directory,
        MissingMemberPolicy missingMemberPolicy,
        LeaseTiming timing) {
    private static final int MAX_FILE_BYTES = 1 << 20;

    /**
     * The result of reading a file.
     *
     * @param settings null if the file is invalid
     * @param errors all errors; empty if the file is valid
     */
    public record ReadResult(CoordinatorSettings settings, List<InvalidSetting> errors) {}

    /** Reads and validates a file; blocks on I/O. */
    public static ReadResult read(Path file) {
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(
                            BoundedFileReader.read(file, MAX_FILE_BYTES, BoundedFileReader.MAX_DURATION_AT_START)))
                    .toString();
        } catch (IOException e) {
            return new ReadResult(
                    null,
                    List.of(new InvalidSetting(
                            file.toString(),
                            0,
                            "file",
                            "cannot be read: " + e,
                            "specify a file that this user can read")));
        }
        try {
            TomlDocument document = TomlDocument.parse(text);
            return new CoordinatorSettingsParser(file.toString(), document.lines()).parse(document.root());
        } catch (TomlSyntaxException e) {
            return new ReadResult(
                    null, List.of(new InvalidSetting(file.toString(), e.line(), "file", e.found(), e.expected())));
        }
    }
}

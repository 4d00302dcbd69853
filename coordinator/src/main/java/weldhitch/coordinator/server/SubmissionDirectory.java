package weldhitch.coordinator.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import weldhitch.fleet.error.FleetError;
import weldhitch.fleet.member.BundleDigest;
import weldhitch.routeconfig.BoundedFileReader;
import weldhitch.routeconfig.RouteConfig;

/**
 * The directory in which operators submit versions, as {@code NAME.toml}, and name members that are removed
 * permanently, as {@code NAME.gone}. Operators create both by rename, so that no half-written file is read. A file that
 * became a version is moved to {@code taken}, an invalid one to {@code refused}.
 *
 * <p>Not thread-safe; used on the thread of {@link SubmissionScanner}.
 */
final class SubmissionDirectory {
    private static final int MAX_FILE_BYTES = 256 << 10;

    /**
     * A submitted file.
     *
     * @param submissionId unique for this file name, content, modification time and size
     * @param text content of the file
     */
    record SubmittedFile(Path path, String submissionId, String sha256, String text) {}

    private final Path directory;
    private final Path acceptedDirectory;
    private final Path rejectedDirectory;
    /** Modification time and size of each file at the last scan that read it. */
    private final Map<Path, String> knownStamps = new HashMap<>();

    SubmissionDirectory(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory.resolve("versions"));
        acceptedDirectory = Files.createDirectories(this.directory.resolve("taken"));
        rejectedDirectory = Files.createDirectories(this.directory.resolve("refused"));
    }

    /**
     * Returns the files that are new since the last scan. A file that is not a valid version is moved to
     * {@code refused} and adds an error to {@code errors}.
     */
    List<SubmittedFile> scan(List<FleetError> errors) {
        List<SubmittedFile> submitted = new ArrayList<>();
        for (Path file : listFiles(".toml")) {
            try {
                String stamp = Files.getLastModifiedTime(file).toMillis() + " " + Files.size(file);
                if (stamp.equals(knownStamps.get(file))) {
                    continue;
                }
                knownStamps.put(file, stamp);
                if (Files.size(file) > MAX_FILE_BYTES) {
                    reject(file, 0, "is larger than " + MAX_FILE_BYTES + " bytes", errors);
                    continue;
                }
                SubmittedFile valid = read(file, stamp, errors);
                if (valid != null) {
                    submitted.add(valid);
                }
            } catch (CharacterCodingException e) {
                reject(file, 0, "is not UTF-8", errors);
            } catch (NoSuchFileException e) {
                // The file was deleted between the scan and the read: the operator has withdrawn it.
                knownStamps.remove(file);
            } catch (IOException | RuntimeException | Error e) {
                // In any case the file must not be read again by the next scan or process, which would fail as well.
                reject(file, 0, "cannot be checked: " + e, errors);
            }
        }
        return submitted;
    }

    /** Returns a file's text with its ids; null if it is not a valid version and has been moved to {@code refused}. */
    private SubmittedFile read(Path file, String stamp, List<FleetError> errors) throws IOException {
        byte[] bytes = BoundedFileReader.read(file, MAX_FILE_BYTES, BoundedFileReader.MAX_DURATION_OF_RELOAD);
        String text = StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(bytes))
                .toString();
        RouteConfig parsed = RouteConfig.parse(file.getFileName().toString(), bytes, null);
        if (!parsed.isUsable()) {
            var firstError = parsed.errors().get(0);
            reject(file, firstError.line(), firstError.key() + ": " + firstError.description(), errors);
            return null;
        }
        String sha256 = BundleDigest.sha256(bytes);
        return new SubmittedFile(file, file.getFileName() + ":" + sha256 + ":" + stamp.replace(' ', ':'), sha256, text);
    }

    /** Makes the next scan return these files again. */
    void forget(List<SubmittedFile> submitted) {
        submitted.forEach(file -> knownStamps.remove(file.path()));
    }

    /** Returns the members that an operator has removed permanently, with the files that name them. */
    Map<String, Path> removedMembers() {
        Map<String, Path> removed = new HashMap<>();
        listFiles(".gone")
                .forEach(file -> removed.put(file.getFileName().toString().replaceFirst("\\.gone$", ""), file));
        return removed;
    }

    private List<Path> listFiles(String suffix) {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(file -> file.getFileName().toString().endsWith(suffix) && Files.isRegularFile(file))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            return List.of();
        }
    }

    /** Moves a file that has become the version with this number to {@code taken}. */
    void markAccepted(Path file, long number) {
        move(file, acceptedDirectory.resolve(number + "-" + file.getFileName()));
    }

    private void reject(Path file, int line, String reason, List<FleetError> errors) {
        errors.add(new FleetError.InvalidBundle(file.toString(), line, reason));
        move(file, rejectedDirectory.resolve(file.getFileName()));
    }

    private void move(Path source, Path target) {
        knownStamps.remove(source);
        try {
            Files.move(source, target, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            // The file stays where it is and the next scan finds it again. A version that is already prepared is
            // recognized by its submission id.
        }
    }
}

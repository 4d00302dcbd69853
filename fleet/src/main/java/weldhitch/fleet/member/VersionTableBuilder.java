package weldhitch.fleet.member;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import weldhitch.fleet.activation.RouteVersion;

/**
 * Fetches the bundle of a version from the coordinators, verifies its checksum and builds its table. Owned by {@link
 * FleetMember} and used on its thread. Its methods block. Not thread-safe.
 *
 * @param <T> the contents of a version's table
 */
final class VersionTableBuilder<T> {
    /** The result of building a table. */
    sealed interface BuildResult<T> {
        /** The table is built. */
        record Built<T>(T content) implements BuildResult<T> {}

        /** The bundle cannot be used on this node; contains the builder's reasons, one per line, or no reason. */
        record Rejected<T>(List<String> errors) implements BuildResult<T> {
            /** Copies the list, so that the record stays immutable. */
            public Rejected {
                errors = List.copyOf(errors);
            }
        }
    }

    private final CoordinatorClient coordinators;
    private final FleetMember.TableBuilder<T> tableBuilder;

    /** Creates a builder that fetches bundles through the given client. */
    VersionTableBuilder(CoordinatorClient coordinators, FleetMember.TableBuilder<T> tableBuilder) {
        this.coordinators = coordinators;
        this.tableBuilder = tableBuilder;
    }

    /**
     * Builds the table of a version.
     *
     * @throws IOException if the bundle could not be fetched, or its checksum is not that of the version
     */
    BuildResult<T> build(RouteVersion version) throws IOException, InterruptedException {
        String file = "version-" + version.number() + ".toml";
        List<String> errors = new ArrayList<>();
        T content = null;
        try {
            content = tableBuilder.build(file, fetchVerified(version), errors::add);
        } catch (RuntimeException | Error e) {
            // A bundle that makes the builder fail is rejected; building it again would fail again.
            errors.add(file + ": " + e);
        }
        return content != null && errors.isEmpty()
                ? new BuildResult.Built<>(content)
                : new BuildResult.Rejected<>(errors);
    }

    private byte[] fetchVerified(RouteVersion version) throws IOException, InterruptedException {
        byte[] bundle = coordinators.fetchBundle(version.number());
        if (!BundleDigest.sha256(bundle).equals(version.sha256())) {
            throw new IOException("bundle checksum mismatch coordinator=" + coordinators.currentAddress() + " version="
                    + version.number());
        }
        return bundle;
    }
}

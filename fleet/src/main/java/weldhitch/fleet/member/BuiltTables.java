package weldhitch.fleet.member;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import weldhitch.fleet.activation.ActiveVersions;
import weldhitch.fleet.table.VersionedTables;
import weldhitch.fleet.table.VersionedTables.Table;

/**
 * Holds the tables of all versions that a member has built, and publishes the active ones. Owned by {@link
 * FleetMember} and guarded by its lock; requests acquire tables from {@link #published} on any thread.
 *
 * @param <T> the contents of a version's table
 */
final class BuiltTables<T> {
    private static final long OWN_FILE_VERSION = 0;

    private final Map<Long, Table<T>> tablesByVersion = new TreeMap<>();
    private final VersionedTables<T> published;

    /**
     * Creates the tables of a member that has built only the table of its own file.
     *
     * @param ownContent the table of version 0, the node's own file
     * @param activeVersions the versions to serve initially
     */
    BuiltTables(T ownContent, ActiveVersions activeVersions) {
        Table<T> ownTable = new Table<>(OWN_FILE_VERSION, ownContent);
        tablesByVersion.put(OWN_FILE_VERSION, ownTable);
        published = new VersionedTables<>(activeVersions, ownTable);
    }

    /** Returns the published tables, from which requests acquire theirs. */
    VersionedTables<T> published() {
        return published;
    }

    /** Adds or replaces the table of a version. */
    void put(long versionNumber, T content) {
        tablesByVersion.put(versionNumber, new Table<>(versionNumber, content));
    }

    /** Replaces the table of the node's own file. */
    void putOwn(T content) {
        put(OWN_FILE_VERSION, content);
    }

    /** Returns whether a version's table is built. */
    boolean contains(long versionNumber) {
        return tablesByVersion.containsKey(versionNumber);
    }

    /** Drops all tables except those of the given versions and of the node's own file. */
    void retain(Collection<Long> versionNumbers) {
        tablesByVersion
                .keySet()
                .removeIf(
                        versionNumber -> versionNumber != OWN_FILE_VERSION && !versionNumbers.contains(versionNumber));
    }

    /** Publishes the tables of the given versions to requests. */
    void publish(ActiveVersions activeVersions) {
        Table<T> current = tablesByVersion.get(activeVersions.current());
        Table<T> next = activeVersions.next() == null ? null : tablesByVersion.get(activeVersions.next());
        published.publish(activeVersions, current, next);
    }
}

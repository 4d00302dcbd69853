package weldhitch.fleet.table;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import weldhitch.fleet.activation.ActiveVersions;

/**
 * The route tables by which requests are decided. Any thread acquires a table, which increments the table's reader
 * count, and releases it when its request has ended. One thread publishes new tables and detects when an old one has
 * lost its last reader (read-copy-update; McKenney and Slingwine, 1998, with the reader count of each table as its
 * epoch).
 *
 * <p>Which of two tables is valid, and whether either is, is determined at the time of a request, not of a publication.
 * So a process that was suspended across an activation time still uses the right table.
 *
 * @param <T> the contents of a table
 */
public final class VersionedTables<T> {
    /**
     * The largest number of live tables: the active one, the next one, and one that is still read by old requests.
     */
    public static final int MAX_LIVE_TABLES = 3;

    /** A version's table and the count of its readers. Thread-safe. */
    public static final class Table<T> {
        private final long version;
        private final T content;
        private final AtomicInteger readers = new AtomicInteger();

        /** Creates a table without readers. */
        public Table(long version, T content) {
            this.version = version;
            this.content = content;
        }

        /** Returns the number of the route version. */
        public long version() {
            return version;
        }

        /** Returns the contents by which requests are decided. */
        public T content() {
            return content;
        }
    }

    /** The tables that are valid until the next publication. Immutable. */
    public static final class View<T> {
        private final ActiveVersions activeVersions;
        private final Table<T> current;
        private final Table<T> next;

        View(ActiveVersions activeVersions, Table<T> current, Table<T> next) {
            this.activeVersions = activeVersions;
            this.current = current;
            this.next = next;
        }

        /** Returns the versions and times that determine which table is valid. */
        public ActiveVersions activeVersions() {
            return activeVersions;
        }

        /** Returns the table of the current version. */
        public Table<T> current() {
            return current;
        }

        /** Returns the table of the next version, or null. */
        public Table<T> next() {
            return next;
        }

        Table<T> tableAt(long now) {
            return next != null && now >= activeVersions.switchAt() ? next : current;
        }

        boolean contains(Table<T> table) {
            return table == current || table == next;
        }
    }

    private static final VarHandle VIEW;

    static {
        try {
            VIEW = MethodHandles.lookup().findVarHandle(VersionedTables.class, "view", View.class);
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    private volatile View<T> view;
    /** Used by the publishing thread only. */
    private final List<Table<T>> liveTables = new ArrayList<>();

    /** Creates the tables with a single active table. */
    public VersionedTables(ActiveVersions activeVersions, Table<T> first) {
        view = new View<>(activeVersions, first, null);
        liveTables.add(first);
    }

    /** Returns the latest publication. */
    @SuppressWarnings("unchecked")
    public View<T> view() {
        return (View<T>) VIEW.getAcquire(this);
    }

    /**
     * Acquires the table that is valid at {@code now}. The table stays live until it is released.
     *
     * @param now nanoseconds of the clock that the published times refer to
     */
    public Table<T> acquire(long now) {
        while (true) {
            View<T> snapshot = view();
            Table<T> table = snapshot.tableAt(now);
            retain(table);
            // If the table was retired before this reader was counted, the publisher may have seen it without
            // readers and dropped it.
            if (view == snapshot || view.contains(table)) {
                return table;
            }
            table.readers.decrementAndGet();
        }
    }

    Table<T> retain(Table<T> table) {
        table.readers.incrementAndGet();
        return table;
    }

    /** Releases a table at the end of the request that acquired it. */
    public void release(Table<T> table) {
        table.readers.decrementAndGet();
    }

    /** Publishes these tables as the valid ones. For the publishing thread only. */
    public void publish(ActiveVersions activeVersions, Table<T> current, Table<T> next) {
        trackIfNew(current);
        if (next != null) {
            trackIfNew(next);
        }
        view = new View<>(activeVersions, current, next);
        retire();
    }

    private void trackIfNew(Table<T> table) {
        if (!liveTables.contains(table)) {
            liveTables.add(table);
        }
    }

    /**
     * Drops tables that are neither valid nor read any more, and returns the number of live tables. For the publishing
     * thread only.
     */
    public int retire() {
        View<T> activeView = view;
        liveTables.removeIf(table -> !activeView.contains(table) && table.readers.get() == 0);
        return liveTables.size();
    }

    /** Returns the tables that are valid or still read. For the publishing thread only. */
    List<Table<T>> liveTables() {
        return List.copyOf(liveTables);
    }

    /** Returns whether another table may be built. For the publishing thread only. */
    public boolean canAddTable() {
        return retire() < MAX_LIVE_TABLES;
    }
}

package weldhitch.fleet.table;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import weldhitch.fleet.activation.ActiveVersions;

/**
 * The route tables that requests are decided by. Any thread enters a table by a load and a count and leaves
 * it when its request has ended; one thread publishes new tables and detects when an old one has lost its
 * last reader (read-copy-update; McKenney and Slingwine, 1998, with a count for each table as its epoch).
 *
 * <p>Which of two tables is valid, and whether either is, is judged at the time of a request, not of a
 * publication: a process that was suspended across an activation time still uses the right one.
 *
 * @param <T> the contents of a table
 */
public final class VersionedTables<T> {
    /**
     * The largest number of tables alive at once: the active one, the next one, and one that old requests
     * still read.
     */
    public static final int MAX_LIVE_TABLES = 3;

    /** One version's table and the count of its readers. Thread-safe. */
    public static final class Table<T> {
        private final long version;
        private final T content;
        private final AtomicInteger readers = new AtomicInteger();

        /** Creates a table without readers. */
        public Table(long version, T content) {
            this.version = version;
            this.content = content;
        }

        /** The number of the route version. */
        public long version() {
            return version;
        }

        /** What requests are decided by. */
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

        /** The versions and the times by which one of the tables is chosen. */
        public ActiveVersions activeVersions() {
            return activeVersions;
        }

        /** The table of the current version. */
        public Table<T> current() {
            return current;
        }

        /** The table of the next version, or null. */
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
    /** Belongs to the publishing thread. */
    private final List<Table<T>> liveTables = new ArrayList<>();

    /** Creates the tables with one that is active. */
    public VersionedTables(ActiveVersions activeVersions, Table<T> first) {
        view = new View<>(activeVersions, first, null);
        liveTables.add(first);
    }

    /** The latest publication. */
    @SuppressWarnings("unchecked")
    public View<T> view() {
        return (View<T>) VIEW.getAcquire(this);
    }

    /**
     * Enters the table that is valid at {@code now}; the table stays alive until it is left.
     *
     * @param now nanoseconds of the clock that the published times refer to
     */
    public Table<T> acquire(long now) {
        while (true) {
            View<T> snapshot = view();
            Table<T> table = snapshot.tableAt(now);
            retain(table);
            // If the table was retired before it was counted, the publisher may already have seen it without
            // readers.
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

    /** Releases a table, as the request that entered it has ended. */
    public void release(Table<T> table) {
        table.readers.decrementAndGet();
    }

    /** Makes these tables the valid ones from now on. For the publishing thread only. */
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
     * Drops tables that are neither valid nor read any more, and returns how many are alive. For the
     * publishing thread only.
     */
    public int retire() {
        View<T> activeView = view;
        liveTables.removeIf(table -> !activeView.contains(table) && table.readers.get() == 0);
        return liveTables.size();
    }

    /** The tables that are valid or still read. For the publishing thread only. */
    List<Table<T>> liveTables() {
        return List.copyOf(liveTables);
    }

    /** Whether a further table may be made. For the publishing thread only. */
    public boolean canAddTable() {
        return retire() < MAX_LIVE_TABLES;
    }
}

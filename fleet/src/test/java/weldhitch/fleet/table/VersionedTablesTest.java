package weldhitch.fleet.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicBoolean;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.LincheckAssertionError;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.junit.jupiter.api.Test;
import weldhitch.fleet.activation.ActiveVersions;
import weldhitch.fleet.table.VersionedTables.Table;

/**
 * Checks with Lincheck that no reader holds a retired table in any interleaving, and that this check fails without the
 * second test of the view in {@link VersionedTables#acquire}.
 */
class VersionedTablesTest {
    static ActiveVersions onlyVersion(long version) {
        return new ActiveVersions(version, null, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);
    }

    /** The operations for Lincheck. The content of a table is whether it was retired. */
    static class ReaderOperations {
        final VersionedTables<AtomicBoolean> tables =
                new VersionedTables<>(onlyVersion(0), new Table<>(0, new AtomicBoolean()));
        private long version;

        Table<AtomicBoolean> acquire() {
            return tables.acquire(0);
        }

        /** Acquires, reads and releases a table; returns whether it was retired by the time it was read. */
        @Operation
        public boolean readsRetired() {
            Table<AtomicBoolean> table = acquire();
            boolean retired = table.content().get();
            tables.release(table);
            return retired;
        }

        @Operation(nonParallelGroup = "publisher")
        public void publish() {
            var before = tables.liveTables();
            Table<AtomicBoolean> next = new Table<>(++version, new AtomicBoolean());
            tables.publish(onlyVersion(version), next, null);
            var after = tables.liveTables();
            before.stream()
                    .filter(t -> !after.contains(t))
                    .forEach(t -> t.content().set(true));
        }
    }

    /** Acquires without the second test of the view. */
    public static final class WithoutRecheck extends ReaderOperations {
        @Override
        Table<AtomicBoolean> acquire() {
            Table<AtomicBoolean> table = tables.view().tableAt(0);
            return tables.retain(table);
        }
    }

    /** Acquires with the second test of the view. */
    public static final class WithRecheck extends ReaderOperations {}

    /** The sequential specification: no table is retired while it is read. */
    public static final class NeverRetired {
        public boolean readsRetired() {
            return false;
        }

        public void publish() {
            // Readers never see a retired table, regardless of what is published.
        }
    }

    private static ModelCheckingOptions modelCheckingOptions() {
        return new ModelCheckingOptions()
                .sequentialSpecification(NeverRetired.class)
                .iterations(12)
                .invocationsPerIteration(1000)
                .threads(2)
                .actorsPerThread(3)
                .actorsBefore(0)
                .actorsAfter(0)
                .minimizeFailedScenario(false);
    }

    @Test
    void noReaderHoldsARetiredTable() {
        LinChecker.check(WithRecheck.class, modelCheckingOptions());
        LinChecker.check(
                WithRecheck.class,
                new StressOptions()
                        .sequentialSpecification(NeverRetired.class)
                        .iterations(6)
                        .invocationsPerIteration(1000)
                        .threads(3)
                        .actorsPerThread(3));
    }

    @Test
    void missingRecheckIsDetected() {
        assertThrows(
                LincheckAssertionError.class, () -> LinChecker.check(WithoutRecheck.class, modelCheckingOptions()));
    }

    @Test
    void tableIsSelectedByTheTimeOfTheRequest() {
        Table<String> old = new Table<>(1, "old");
        Table<String> next = new Table<>(2, "next");
        VersionedTables<String> tables = new VersionedTables<>(onlyVersion(1), old);
        tables.publish(new ActiveVersions(1, 2L, 1000, Long.MAX_VALUE, Long.MAX_VALUE), old, next);
        assertEquals("old", tables.acquire(999).content());
        assertEquals("next", tables.acquire(1000).content());
    }

    @Test
    void noMoreThanThreeAreLiveAndOldOnesAreRetiredWithTheirLastReader() {
        VersionedTables<String> tables = new VersionedTables<>(onlyVersion(1), new Table<>(1, "1"));
        Table<String> first = tables.acquire(0);
        tables.publish(onlyVersion(2), new Table<>(2, "2"), null);
        Table<String> second = tables.acquire(0);
        tables.publish(onlyVersion(3), new Table<>(3, "3"), null);
        assertFalse(tables.canAddTable(), "two old tables are still read");
        tables.release(first);
        assertTrue(tables.canAddTable());
        tables.release(second);
        assertEquals(1, tables.retire());
    }
}

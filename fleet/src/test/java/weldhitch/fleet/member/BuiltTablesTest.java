package weldhitch.fleet.member;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.fleet.activation.ActiveVersions;

/** Tests which tables of versions are retained. */
class BuiltTablesTest {
    private static final ActiveVersions OWN_FILE_ACTIVE =
            new ActiveVersions(0, null, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

    @Test
    void ownFileIsAlwaysRetained() {
        BuiltTables<String> tables = new BuiltTables<>("own", OWN_FILE_ACTIVE);
        tables.put(1, "one");
        tables.put(2, "two");
        tables.retain(List.of(2L));
        assertTrue(tables.contains(0));
        assertFalse(tables.contains(1));
        assertTrue(tables.contains(2));
    }

    @Test
    void replacingTheOwnFileKeepsOtherVersions() {
        BuiltTables<String> tables = new BuiltTables<>("own", OWN_FILE_ACTIVE);
        assertFalse(tables.contains(1));
        tables.put(1, "one");
        tables.putOwn("own again");
        assertTrue(tables.contains(0) && tables.contains(1));
        assertTrue(tables.published().canAddTable());
    }
}

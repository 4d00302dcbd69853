package weldhitch.coordinator.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.consensus.AcceptorState;
import weldhitch.consensus.CommittedState;
import weldhitch.fleet.error.FleetException;
import weldhitch.statelog.StateLog;

/** Tests that the acceptor's state survives a restart, and that any other content of the log is an error. */
class AcceptorStateStoreTest {
    @TempDir
    Path directory;

    private Path file() {
        return directory.resolve("steward.log");
    }

    @Test
    void writtenStateIsReadAfterReopening() throws Exception {
        AcceptorState state = new AcceptorState(CommittedState.INITIAL, 3, null, null, null);
        try (AcceptorStateStore store = new AcceptorStateStore(file())) {
            assertEquals(AcceptorState.INITIAL, store.read());
            store.write(state);
        }
        try (AcceptorStateStore store = new AcceptorStateStore(file())) {
            assertEquals(state, store.read());
            assertFalse(store.isSuspect());
        }
    }

    @Test
    void logWithInvalidContentIsAnError() throws Exception {
        try (StateLog stateLog = StateLog.open(file(), 1 << 20)) {
            stateLog.write("no state".getBytes(StandardCharsets.UTF_8));
        }
        try (AcceptorStateStore store = new AcceptorStateStore(file())) {
            FleetException failure = assertThrows(FleetException.class, store::read);
            assertTrue(
                    failure.error().message().startsWith("disk-refused: "),
                    failure.error().message());
        }
    }

    @Test
    void logIsLockedWhileOpen() throws Exception {
        try (AcceptorStateStore store = new AcceptorStateStore(file())) {
            assertFalse(store.isSuspect());
            assertThrows(IOException.class, () -> new AcceptorStateStore(file()).close());
        }
    }
}

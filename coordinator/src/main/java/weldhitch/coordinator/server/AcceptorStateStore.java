package weldhitch.coordinator.server;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import weldhitch.consensus.AcceptorState;
import weldhitch.fleet.error.FleetError;
import weldhitch.fleet.error.FleetException;
import weldhitch.statelog.StateLog;

/**
 * Stores the acceptor's state on disk as JSON in a {@link StateLog}, which it owns and closes.
 *
 * <p>Not thread-safe; used on the decision thread of {@link CoordinatorLoop} once that has started.
 */
final class AcceptorStateStore implements Closeable {
    private static final long COMPACTION_THRESHOLD_BYTES = 1 << 20;

    private final Path file;
    private final StateLog stateLog;

    /**
     * Opens and locks the log.
     *
     * @throws IOException if it cannot be opened, or another process has locked it
     */
    AcceptorStateStore(Path file) throws IOException {
        this.file = file;
        stateLog = StateLog.open(file, COMPACTION_THRESHOLD_BYTES);
    }

    /** Returns whether the log may have lost a promise, in which case this coordinator must not vote. */
    boolean isSuspect() {
        return stateLog.suspect();
    }

    /**
     * Returns the state on disk, or the initial state if there is none.
     *
     * @throws FleetException if the log does not contain a state of this version
     */
    AcceptorState read() throws FleetException {
        try {
            return stateLog.state() == null
                    ? AcceptorState.INITIAL
                    : CoordinatorJson.JSON.readValue(stateLog.state(), AcceptorState.class);
        } catch (IOException e) {
            throw new FleetException(new FleetError.StateWriteFailed(
                    file.toString(), "does not contain a state of this version: " + e.getMessage()));
        }
    }

    /**
     * Writes the state; it is on disk once this returns.
     *
     * @throws IOException if it could not be written; the previous state is kept
     */
    void write(AcceptorState state) throws IOException {
        stateLog.write(CoordinatorJson.JSON.writeValueAsBytes(state));
    }

    @Override
    public void close() throws IOException {
        stateLog.close();
    }
}

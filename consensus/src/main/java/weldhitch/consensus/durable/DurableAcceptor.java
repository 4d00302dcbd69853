package weldhitch.consensus.durable;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import weldhitch.consensus.Acceptor;
import weldhitch.consensus.AcceptorState;
import weldhitch.consensus.CommittedState;
import weldhitch.consensus.Message;
import weldhitch.consensus.Reply;
import weldhitch.statelog.StateLog;

/**
 * A Paxos acceptor whose state is fsynced to a {@link StateLog} before each reply is returned. If the write
 * fails, there is no reply and the state is unchanged. An acceptor with a suspect log, which may have lost a
 * promise, abstains from every vote but still learns committed states.
 *
 * <p>Not thread-safe.
 */
public final class DurableAcceptor implements Closeable {
    private static final ObjectMapper JSON = ConsensusJson.register(new ObjectMapper());
    private static final long COMPACTION_THRESHOLD_BYTES = 1 << 20;

    private final String name;
    private final StateLog log;
    private Acceptor acceptor;

    /**
     * Opens the log and restores the acceptor from it.
     *
     * @throws IOException if the log cannot be opened or does not contain a state of this version
     */
    public DurableAcceptor(String name, Path file) throws IOException {
        this.name = name;
        log = StateLog.open(file, COMPACTION_THRESHOLD_BYTES);
        try {
            byte[] persisted = log.state();
            acceptor = new Acceptor(
                    name, persisted == null ? AcceptorState.INITIAL : JSON.readValue(persisted, AcceptorState.class));
        } catch (IOException e) {
            log.close();
            throw new IOException(file + ": not a state of this version: " + e.getMessage(), e);
        }
    }

    /** Returns whether this acceptor votes; false if its log is suspect. */
    public boolean isVoting() {
        return !log.suspect();
    }

    /** Returns the last state known to be committed. */
    public CommittedState committed() {
        return acceptor.committed();
    }

    /**
     * Handles a message and returns the reply once the new state is on disk.
     *
     * @throws IOException if the new state could not be written; no reply may be sent, and the state is unchanged
     */
    public Reply onMessage(Message message) throws IOException {
        if (!isVoting() && !(message instanceof Message.Learn)) {
            return new Reply.Abstained(name);
        }
        Acceptor updated = new Acceptor(name, acceptor.state());
        Reply reply = updated.onMessage(message);
        if (!updated.state().equals(acceptor.state())) {
            log.write(JSON.writeValueAsBytes(updated.state()));
        }
        acceptor = updated;
        return reply;
    }

    @Override
    public void close() throws IOException {
        log.close();
    }
}

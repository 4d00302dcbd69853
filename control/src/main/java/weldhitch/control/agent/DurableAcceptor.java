package weldhitch.control.agent;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import weldhitch.control.log.StateLog;
import weldhitch.control.order.Acceptor;
import weldhitch.control.order.Acceptor.Kept;
import weldhitch.control.order.Epoch;
import weldhitch.control.order.Message;
import weldhitch.control.order.Reply;

/**
 * A Paxos acceptor whose state is fsynced to a {@link StateLog} before each reply is returned. If the write
 * fails, there is no reply and the state is unchanged. An acceptor with a suspect log, which may have lost a
 * promise, abstains from every vote but still learns committed states.
 *
 * <p>Not thread-safe.
 */
public final class DurableAcceptor implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long COMPACT_AT = 1 << 20;

    private final String name;
    private final StateLog log;
    private Acceptor acceptor;

    /**
     * Opens the log and restores the acceptor from it.
     *
     * @throws IOException if the log cannot be opened or does not hold a state of this version
     */
    public DurableAcceptor(String name, Path file) throws IOException {
        this.name = name;
        log = StateLog.open(file, COMPACT_AT);
        try {
            byte[] state = log.state();
            acceptor = new Acceptor(name, state == null ? Kept.FIRST : JSON.readValue(state, Kept.class));
        } catch (IOException e) {
            log.close();
            throw new IOException(file + ": not a state of this version: " + e.getMessage(), e);
        }
    }

    /** Whether this acceptor votes; false if its log is suspect. */
    public boolean votes() {
        return !log.suspect();
    }

    /** Returns the last state known to be committed. */
    public Epoch decided() {
        return acceptor.decided();
    }

    /**
     * Handles a message and returns the reply, once the new state is on disk.
     *
     * @throws IOException if the new state could not be written: nothing may be replied, and the previous state
     *     stays in force
     */
    public Reply on(Message message) throws IOException {
        if (!votes() && !(message instanceof Message.Decide)) {
            return new Reply.Abstains(name);
        }
        Acceptor next = new Acceptor(name, acceptor.kept());
        Reply reply = next.on(message);
        if (!next.kept().equals(acceptor.kept())) {
            log.write(JSON.writeValueAsBytes(next.kept()));
        }
        acceptor = next;
        return reply;
    }

    @Override
    public void close() throws IOException {
        log.close();
    }
}

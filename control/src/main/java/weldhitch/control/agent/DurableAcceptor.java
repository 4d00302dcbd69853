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
 * An acceptor whose every answer is on disk before it is given. Where the disk refuses, there is no answer and nothing has
 * changed. One that may have forgotten something votes on nothing, and still learns what is decided.
 */
public final class DurableAcceptor implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long COMPACT_AT = 1 << 20;

    private final String name;
    private final StateLog log;
    private Acceptor acceptor;

    /** @throws IOException where the log cannot be opened, or holds what is no state of this version */
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

    /** Whether it takes part in decisions. */
    public boolean votes() {
        return !log.suspect();
    }

    /** What is in force. */
    public Epoch decided() {
        return acceptor.decided();
    }

    /**
     * Answers a message.
     *
     * @throws IOException where the answer could not be put on disk: it holds for nothing, and the state before stays
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

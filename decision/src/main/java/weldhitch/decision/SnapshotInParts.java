package weldhitch.decision;

import java.util.ArrayList;
import java.util.List;
import weldhitch.decision.Snapshot.OfServer;

/**
 * A snapshot that is taken between events, some servers at a time, so that a large fleet does not hold the event loop. It
 * is of the instant at which it was begun: all but the servers is saved then, and a server that changes before its turn is
 * saved ahead of its change. Single-threaded like the module; once {@link #more} has said that all is saved, another thread
 * to which it was handed safely may ask for the {@link #snapshot}.
 */
public final class SnapshotInParts {
    /** Everything but the servers, for which it is given a list. */
    interface Rest {
        Snapshot with(List<OfServer> servers);
    }

    /** What saves one server. */
    interface Saver {
        OfServer save(Upstream server, boolean listed);
    }

    private final List<Upstream> servers = new ArrayList<>();
    private int listed;
    private Saver saver;
    private Rest rest;
    private OfServer[] saved;
    private int next;
    private volatile boolean complete;

    SnapshotInParts() {
    }

    /** The server's place, which its first mention gives it. */
    int placeOf(Upstream server) {
        if (server.wantedBy != this) {
            server.wantedBy = this;
            server.savedAs = servers.size();
            servers.add(server);
        }
        return server.savedAs;
    }

    /** Those mentioned until now are the list's; what comes behind them only attempts know. */
    void listEnds() {
        listed = servers.size();
    }

    /** No server is mentioned any more. */
    void begun(Saver how, Rest others) {
        saver = how;
        rest = others;
        saved = new OfServer[servers.size()];
    }

    /** Ahead of a change of a server that has not been saved. */
    void keep(Upstream server) {
        server.wantedBy = null;
        saved[server.savedAs] = saver.save(server, server.savedAs < listed);
    }

    /** Saves so many servers more at most; true once all are. */
    public boolean more(int most) {
        int end = (int) Math.min(servers.size(), (long) next + most);
        for (; next < end; next++) {
            Upstream server = servers.get(next);
            if (server.wantedBy == this) {
                keep(server);
            }
        }
        complete |= next == servers.size();
        return complete;
    }

    /** Whether all is saved; asked on any thread. */
    public boolean complete() {
        return complete;
    }

    /** @throws IllegalStateException while something is still to be saved */
    public Snapshot snapshot() {
        if (!complete) {
            throw new IllegalStateException(next + " of " + servers.size() + " servers are saved");
        }
        return rest.with(List.of(saved));
    }

    /** Saves what is left. */
    public Snapshot finish() {
        more(Integer.MAX_VALUE);
        return snapshot();
    }
}

package weldhitch.decision;

/**
 * What a process does at each signal, whenever it comes: free of I/O, clock and threads. It starts, serves, drains and ends, and
 * reads its configuration again in between, once at a time.
 *
 * <table>
 * <caption>What a signal leads to</caption>
 * <tr><th></th><th>SIGHUP</th><th>SIGTERM</th></tr>
 * <tr><td>before it listens</td><td>a reload, once it listens</td><td>the end, as it has taken nothing; it never listens</td></tr>
 * <tr><td>while it serves</td><td>a reload</td><td>the drain</td></tr>
 * <tr><td>in a reload</td><td>one more reload behind it, however many come: it reads what is newest</td><td>the drain, at once:
 * a reload may wait for a slow disk</td></tr>
 * <tr><td>in the drain</td><td>a reload: what it still serves goes by the newest list</td><td>nothing</td></tr>
 * <tr><td>at the end</td><td>nothing</td><td>nothing</td></tr>
 * </table>
 */
public final class LifeCycle {
    /** What to do now. */
    public enum Step { NOTHING, RELOAD, DRAIN, END }

    private boolean listens;
    private boolean told;
    private boolean ended;
    private boolean reloading;
    private boolean reloadWanted;

    /** Asked right before the listener opens: whether it may. */
    public boolean mayListen() {
        listens = !told;
        return listens;
    }

    /** The listener is open. */
    public Step listening() {
        return next();
    }

    public Step hangUp() {
        reloadWanted = true;
        return next();
    }

    /** A reload is over, however it went. */
    public Step reloaded() {
        reloading = false;
        return next();
    }

    public Step terminate() {
        if (told) {
            return Step.NOTHING;
        }
        told = true;
        if (!listens) {
            ended = true;
            return Step.END;
        }
        return Step.DRAIN;
    }

    /** The drain is over. */
    public void drained() {
        ended = true;
    }

    private Step next() {
        if (!listens || ended || reloading || !reloadWanted) {
            return Step.NOTHING;
        }
        reloadWanted = false;
        reloading = true;
        return Step.RELOAD;
    }
}

package weldhitch.decision.lifecycle;

/**
 * The state machine of a node process, which decides what to do at each signal, whenever the signal arrives. The
 * process starts, serves, drains and exits; in between it reloads its configuration, one reload at a time. Used by the
 * node's service. Not thread-safe; performs no I/O and reads no clock.
 *
 * <table>
 * <caption>Effect of a signal by state</caption>
 * <tr><th></th><th>SIGHUP</th><th>SIGTERM</th></tr>
 * <tr><td>before listening</td><td>a reload, once the listener is open</td><td>exit, because no connection has been
 * accepted; the listener is never opened</td></tr>
 * <tr><td>serving</td><td>a reload</td><td>drain</td></tr>
 * <tr><td>reloading</td><td>one more reload afterwards, however many signals arrive, because it reads the
 * newest files</td><td>drain at once, because a reload may wait for a slow disk</td></tr>
 * <tr><td>draining</td><td>a reload, so that the remaining requests use the newest endpoint list</td><td>no
 * effect</td></tr>
 * <tr><td>terminated</td><td>no effect</td><td>no effect</td></tr>
 * </table>
 */
public final class ProcessLifecycle {
    /** The action that the caller must take now. */
    public enum LifecycleAction {
        NONE,
        RELOAD,
        DRAIN,
        EXIT
    }

    private boolean listenerOpen;
    private boolean terminationRequested;
    private boolean terminated;
    private boolean reloading;
    private boolean reloadPending;

    /** Records that the listener is about to open; returns whether it may. */
    public boolean tryOpenListener() {
        listenerOpen = !terminationRequested;
        return listenerOpen;
    }

    /** Records that the listener is open; returns a reload if one was requested before. */
    public LifecycleAction onListening() {
        return nextAction();
    }

    /** Handles SIGHUP. */
    public LifecycleAction onHangUp() {
        reloadPending = true;
        return nextAction();
    }

    /** Records that a reload has ended, successfully or not. */
    public LifecycleAction onReloaded() {
        reloading = false;
        return nextAction();
    }

    /** Handles SIGTERM. */
    public LifecycleAction onTerminate() {
        if (terminationRequested) {
            return LifecycleAction.NONE;
        }
        terminationRequested = true;
        if (!listenerOpen) {
            terminated = true;
            return LifecycleAction.EXIT;
        }
        return LifecycleAction.DRAIN;
    }

    /** Records that the drain has ended. */
    public void onDrained() {
        terminated = true;
    }

    private LifecycleAction nextAction() {
        if (!listenerOpen || terminated || reloading || !reloadPending) {
            return LifecycleAction.NONE;
        }
        reloadPending = false;
        reloading = true;
        return LifecycleAction.RELOAD;
    }
}

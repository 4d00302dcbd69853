package weldhitch.decision.lifecycle;

/**
 * The state machine of a node process: it decides what to do at each signal, whenever it arrives. The process
 * starts, serves, drains and exits, and reloads its configuration in between, one reload at a time. Used by
 * the node's service; not thread-safe, without I/O or clock.
 *
 * <table>
 * <caption>Effect of a signal by state</caption>
 * <tr><th></th><th>SIGHUP</th><th>SIGTERM</th></tr>
 * <tr><td>before listening</td><td>a reload, once it listens</td><td>exit, as it has accepted nothing; it never
 * listens</td></tr>
 * <tr><td>serving</td><td>a reload</td><td>drain</td></tr>
 * <tr><td>reloading</td><td>one more reload afterwards, however many signals: it reads the newest
 * files</td><td>drain at once, as a reload may wait for a slow disk</td></tr>
 * <tr><td>draining</td><td>a reload: what is still served uses the newest list</td><td>nothing</td></tr>
 * <tr><td>terminated</td><td>nothing</td><td>nothing</td></tr>
 * </table>
 */
public final class ProcessLifecycle {
    /** What the caller has to do now. */
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

    /** Called right before the listener opens; returns whether it may. */
    public boolean tryOpenListener() {
        listenerOpen = !terminationRequested;
        return listenerOpen;
    }

    /** The listener is open; returns a reload if one was requested before. */
    public LifecycleAction onListening() {
        return nextAction();
    }

    /** SIGHUP was received. */
    public LifecycleAction onHangUp() {
        reloadPending = true;
        return nextAction();
    }

    /** A reload has ended, successfully or not. */
    public LifecycleAction onReloaded() {
        reloading = false;
        return nextAction();
    }

    /** SIGTERM was received. */
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

    /** The drain has ended. */
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

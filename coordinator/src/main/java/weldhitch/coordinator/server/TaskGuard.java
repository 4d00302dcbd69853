package weldhitch.coordinator.server;

import java.util.function.Consumer;

/**
 * Makes tasks for the executors of a coordinator, which end a periodic task for good, without a message, once it
 * throws. A failure of a guarded task, an {@link Error} too, is logged and ends only this run. Immutable and
 * thread-safe.
 */
final class TaskGuard {
    private final String coordinator;
    private final Consumer<String> log;

    /** Creates a guard that logs failures under the name of a coordinator. */
    TaskGuard(String coordinator, Consumer<String> log) {
        this.coordinator = coordinator;
        this.log = log;
    }

    /**
     * Returns a task that never throws.
     *
     * @param name names the task in the log
     */
    Runnable guarded(String name, Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (Throwable e) {
                report(name, e);
            }
        };
    }

    /** Logs the failure of a task, if that is possible; never throws. */
    void report(String name, Throwable failure) {
        try {
            StackTraceElement[] stackTrace = failure.getStackTrace();
            log.accept("coordinator event failed, continuing name=" + coordinator + " event=\"" + name + "\" error="
                    + failure + (stackTrace.length > 0 ? " at=" + stackTrace[0] : ""));
        } catch (Throwable e) {
            // Without memory for a log line, the next run follows without one.
        }
    }
}

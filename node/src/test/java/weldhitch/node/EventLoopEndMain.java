package weldhitch.node;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Runs a node as its packaged main class does, and ends the thread of its event loop by an error once the node listens.
 * Started by {@link PackagedNodeIT} in a process of its own.
 */
final class EventLoopEndMain {
    /** An error that arrives within a task is logged and ignored, so it is thrown again after this time. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private EventLoopEndMain() {}

    /** Starts the node and ends its event loop. */
    public static void main(String[] args) {
        NodeService.main(null);
        while (true) {
            Thread.getAllStackTraces().keySet().stream()
                    .filter(thread -> thread.getName().startsWith("event-loop-"))
                    .forEach(EventLoopEndMain::stop);
            LockSupport.parkNanos(INTERVAL_NANOS);
        }
    }

    @SuppressWarnings({"deprecation", "removal"})
    private static void stop(Thread thread) {
        thread.stop();
    }
}

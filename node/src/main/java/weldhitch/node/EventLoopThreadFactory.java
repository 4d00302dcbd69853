package weldhitch.node;

import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Creates the thread of an event loop, and reports it if the thread ends although the loop was not shut down, for
 * example by an error for lack of memory: the process would go on without answering anybody. Thread-safe.
 */
final class EventLoopThreadFactory extends DefaultThreadFactory {
    private final Runnable onUnexpectedEnd;
    private volatile boolean shutDown;

    EventLoopThreadFactory(Runnable onUnexpectedEnd) {
        super("event-loop");
        this.onUnexpectedEnd = onUnexpectedEnd;
    }

    /** Declares that the loop is being shut down, so that its end is expected. */
    void shutDown() {
        shutDown = true;
    }

    @Override
    public Thread newThread(Runnable task) {
        return super.newThread(() -> {
            try {
                task.run();
            } finally {
                if (!shutDown) {
                    onUnexpectedEnd.run();
                }
            }
        });
    }
}

package weldhitch.testkit;

/** Timeout, polling and daemon threads shared by tests that use sockets. Thread-safe. */
public final class TestSupport {
    /**
     * Upper bound for any wait of a test, in seconds. It is generous so that a busy machine does not exceed it, and is
     * not an assertion about the time that something takes.
     */
    public static final int TIMEOUT_SECONDS = 20;

    private TestSupport() {}

    /** The body of a daemon thread. Its exceptions are ignored, because such a thread ends with its connection. */
    public interface ThrowingRunnable {
        /** Runs on its own thread until the connection ends. */
        void run() throws Exception;
    }

    /** Starts a daemon thread that runs {@code task} and ignores its exceptions. */
    public static Thread startDaemon(ThrowingRunnable task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection has ended, and the thread ends with it.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Polls until the condition is true; fails after {@link #TIMEOUT_SECONDS} seconds. */
    public static void await(java.util.function.BooleanSupplier condition) {
        await(TIMEOUT_SECONDS, condition);
    }

    /** Polls until the condition is true; fails after {@code seconds} seconds. */
    public static void await(int seconds, java.util.function.BooleanSupplier condition) {
        long deadline = System.nanoTime() + seconds * 1_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("condition was not met within the timeout");
            }
            Thread.onSpinWait();
        }
    }
}

package weldhitch.node;

import java.util.concurrent.ArrayBlockingQueue;

/**
 * Writes log lines to standard error. A daemon thread writes them, so that the event loop never blocks on a pipe
 * that is not read. The queue and the lines per second are limited, and the number of dropped lines is logged.
 * Thread-safe.
 */
final class Log {
    private static final int LINES_PER_SECOND = 30;
    private static final int MAX_LINE_LENGTH = 400;
    private static final ArrayBlockingQueue<String> QUEUE = new ArrayBlockingQueue<>(256);

    private static long currentSecond;
    private static int linesThisSecond;
    private static int droppedLines;

    static {
        Thread writer = new Thread(Log::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    private Log() {}

    static synchronized void line(String text) {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != currentSecond) {
            currentSecond = now;
            linesThisSecond = 0;
            if (droppedLines > 0) {
                QUEUE.offer("log lines dropped count=" + droppedLines);
                droppedLines = 0;
            }
        }
        String truncated = text.length() > MAX_LINE_LENGTH ? text.substring(0, MAX_LINE_LENGTH) : text;
        if (++linesThisSecond > LINES_PER_SECOND || !QUEUE.offer(truncated.replaceAll("\\p{Cntrl}", "?"))) {
            droppedLines++;
        }
    }

    static void failure(String description, Throwable cause) {
        StackTraceElement[] stackTrace = cause.getStackTrace();
        line(description + ": " + cause + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
    }

    /** Logs a failure, if there is memory enough for that; never throws. */
    static void failureUnlessExhausted(String description, Throwable cause) {
        try {
            failure(description, cause);
        } catch (Throwable e) {
            // Without memory for a log line, the caller goes on without one.
        }
    }

    private static void write() {
        while (true) {
            try {
                System.err.println(QUEUE.take());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (Throwable e) {
                // A line that cannot be written is lost; the next one may be written again.
            }
        }
    }
}

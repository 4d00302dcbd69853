package weldhitch.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Starts the periodic tasks of the event loop. The loop itself ends a periodic task for good, without a message, once
 * it throws; here a failure, an {@link Error} too, ends only the round: it is logged, and the next round follows.
 * Stateless and thread-safe.
 */
final class PeriodicTasks {
    private PeriodicTasks() {}

    /**
     * Runs a task with a fixed delay between two rounds, the first after one delay.
     *
     * @param name names the task in the log
     * @return ends the task when it is cancelled
     */
    static Future<?> start(EventLoop loop, String name, Runnable task, long delay, TimeUnit unit) {
        return loop.scheduleWithFixedDelay(() -> runRound(name, task), delay, delay, unit);
    }

    private static void runRound(String name, Runnable task) {
        try {
            task.run();
        } catch (Throwable e) {
            Log.failureUnlessExhausted("periodic task failed, continuing task=" + name, e);
        }
    }
}

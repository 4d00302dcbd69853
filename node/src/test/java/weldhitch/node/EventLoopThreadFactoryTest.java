package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests when {@link EventLoopThreadFactory} reports the end of a thread. */
class EventLoopThreadFactoryTest {
    private final AtomicInteger unexpectedEnds = new AtomicInteger();
    private final EventLoopThreadFactory factory = new EventLoopThreadFactory(unexpectedEnds::incrementAndGet);

    private void run(Runnable task) throws InterruptedException {
        Thread thread = factory.newThread(task);
        thread.setUncaughtExceptionHandler((t, e) -> {});
        thread.start();
        thread.join();
    }

    /**
     * Guards against this failure: an event loop died of an OutOfMemoryError, and its process went on for 10 s without
     * answering anybody, waiting for requests that nobody could answer.
     */
    @Test
    void endByAnErrorIsReported() throws Exception {
        run(() -> {
            throw new OutOfMemoryError("thrown by the test");
        });
        assertEquals(1, unexpectedEnds.get());
    }

    @Test
    void endAfterTheLoopWasShutDownIsNotReported() throws Exception {
        factory.shutDown();
        run(() -> {});
        assertEquals(0, unexpectedEnds.get());
    }
}

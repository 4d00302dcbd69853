package weldhitch.node;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.concurrent.TimeUnit;
import weldhitch.decision.connection.PollHistory;

/**
 * Records each time that the event loop polls its sockets, so that the age of what is read can be bounded, and logs
 * stalls of the loop. Confined to the event loop, except {@link #startLogging}.
 */
final class PollMonitor implements SelectStrategy {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Clock clock;
    private final PollHistory history;
    /** Written by the thread that starts the node. */
    private volatile boolean logging;

    private final SelectStrategy strategy = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();

    PollMonitor(Clock clock) {
        this.clock = clock;
        history = new PollHistory(clock.now());
    }

    /** Makes the loop poll at least once every {@link PollHistory#MAX_POLL_INTERVAL}. */
    void start(EventLoop loop) {
        loop.scheduleWithFixedDelay(
                () -> {}, PollHistory.MAX_POLL_INTERVAL, PollHistory.MAX_POLL_INTERVAL, TimeUnit.NANOSECONDS);
    }

    /** Logs stalls from now on. It is called once the node listens, because the start itself stalls the loop. */
    void startLogging() {
        logging = true;
    }

    PollHistory history() {
        return history;
    }

    /** Records a poll; the loop calls this method right before each poll. */
    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        long stall = history.pollStarted(clock.now());
        if (stall > 0 && logging) {
            Log.line("event loop stalled duration_ms=" + stall / NANOS_PER_MILLI);
        }
        return strategy.calculateStrategy(selectNow, hasTasks);
    }
}

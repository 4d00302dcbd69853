package weldhitch.simulator.coldstart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import weldhitch.simulator.cluster.EventScheduler;

/**
 * A discovery service of fixed capacity. It answers polls one after another, even those that the node has
 * abandoned, and rejects polls that find the queue full. While it is down, connections are refused or, in a
 * network outage, nothing responds at all. Single-threaded, on the event scheduler.
 */
final class DiscoveryService {
    /** The result of one poll. */
    enum PollResult {
        LIST,
        NOT_MODIFIED,
        REJECTED,
        CONNECTION_FAILED
    }

    /** Receives the result of a poll; never called if the service has become silent meanwhile. */
    interface PollCallback {
        void onResult(PollResult result);
    }

    /**
     * How the service fails while it is down: connections are refused, or new ones time out and open ones stay
     * silent.
     */
    enum OutageMode {
        REFUSES_CONNECTIONS,
        SILENT
    }

    /** Connect timeout of a node, in nanoseconds. */
    private static final long CONNECT_TIMEOUT = 1_000_000_000L;

    /**
     * The capacity of the service. Immutable.
     *
     * @param pollCostNanos time for handling one poll, in nanoseconds
     * @param lineCostNanos time for writing one line of a response, in nanoseconds
     * @param maxQueueLength number of polls that can be queued; further ones are rejected
     */
    record Capacity(long pollCostNanos, long lineCostNanos, int maxQueueLength) {}

    /**
     * A poll that is queued or waits for an update.
     *
     * @param fullList whether it requests the complete list
     * @param watchNanos nanoseconds that it may wait for an update; 0 for not at all
     */
    private record PendingPoll(boolean fullList, long watchNanos, PollCallback callback) {}

    private final EventScheduler scheduler;
    private final Capacity capacity;
    private final int listSize;
    private final OutageMode outageMode;
    private final ArrayDeque<PendingPoll> queue = new ArrayDeque<>();
    private final List<PendingPoll> watches = new ArrayList<>();
    private boolean available = true;
    private boolean busy;
    private long generation;
    /** Number of polls in each tenth of a second since the start. */
    final BucketedCounter polls = new BucketedCounter();
    /** Number of lines written in each tenth of a second since the start. */
    final BucketedCounter linesWritten = new BucketedCounter();

    int peakQueueLength;

    DiscoveryService(EventScheduler scheduler, Capacity capacity, int listSize, OutageMode outageMode) {
        this.scheduler = scheduler;
        this.capacity = capacity;
        this.listSize = listSize;
        this.outageMode = outageMode;
    }

    /**
     * Starts an outage: drops every open poll, with an error unless the outage is silent. No poll is answered until
     * {@link #endOutage}.
     */
    void startOutage() {
        available = false;
        generation++;
        busy = false;
        List<PendingPoll> ended = new ArrayList<>(queue);
        ended.addAll(watches);
        queue.clear();
        watches.clear();
        if (outageMode == OutageMode.REFUSES_CONNECTIONS) {
            ended.forEach(pending -> pending.callback.onResult(PollResult.CONNECTION_FAILED));
        }
    }

    /** Ends the outage: polls are answered again. */
    void endOutage() {
        available = true;
    }

    /** Publishes a change of the list: every waiting poll is answered, one after the other. */
    void publishChange() {
        List<PendingPoll> notified = new ArrayList<>(watches);
        watches.clear();
        notified.forEach(pending -> queue.add(new PendingPoll(false, 0, pending.callback)));
        processNext();
    }

    /**
     * Handles a poll.
     *
     * @param fullList whether it requests the complete list
     * @param watchNanos nanoseconds that it may wait for an update; 0 for not at all
     */
    void poll(boolean fullList, long watchNanos, PollCallback callback) {
        polls.add(scheduler.now(), 1);
        if (!available) {
            scheduler.schedule(
                    outageMode == OutageMode.REFUSES_CONNECTIONS ? 0 : CONNECT_TIMEOUT,
                    () -> callback.onResult(PollResult.CONNECTION_FAILED));
            return;
        }
        if (queue.size() >= capacity.maxQueueLength) {
            callback.onResult(PollResult.REJECTED);
            return;
        }
        queue.add(new PendingPoll(fullList, watchNanos, callback));
        peakQueueLength = Math.max(peakQueueLength, queue.size());
        processNext();
    }

    private void processNext() {
        if (busy || queue.isEmpty() || !available) {
            return;
        }
        busy = true;
        PendingPoll next = queue.poll();
        int linesToWrite = next.watchNanos > 0 ? 0 : next.fullList ? listSize : 1;
        long startGeneration = generation;
        scheduler.schedule(capacity.pollCostNanos + capacity.lineCostNanos * linesToWrite, () -> {
            if (startGeneration != generation) {
                return;
            }
            busy = false;
            linesWritten.add(scheduler.now(), linesToWrite);
            if (next.watchNanos > 0) {
                watches.add(next);
                scheduler.schedule(next.watchNanos, () -> {
                    if (watches.remove(next)) {
                        next.callback.onResult(PollResult.NOT_MODIFIED);
                    }
                });
            } else {
                next.callback.onResult(PollResult.LIST);
            }
            processNext();
        });
    }
}

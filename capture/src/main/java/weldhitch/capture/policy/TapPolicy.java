package weldhitch.capture.policy;

/**
 * Decides for each event what the node's side of a capture does: enqueue it, with or without a snapshot before
 * it, or drop it because the writer lags behind. It never waits. After the first dropped event, events are
 * dropped until half of the queue is free and a snapshot precedes the next one, so that replay can restart
 * there. Times are nanoseconds. Belongs to the node's event loop; not thread-safe.
 */
public final class TapPolicy {
    /** What to do with the current event: enqueue it, enqueue a snapshot and then the event, or drop it. */
    public enum Decision {
        ENQUEUE,
        SNAPSHOT_FIRST,
        DROP
    }

    private final long snapshotInterval;
    private final int queueCapacity;
    private boolean snapshotNeeded = true;
    private long droppedCount;
    private long firstDroppedAt;
    private long lastDroppedAt;
    private long lastSnapshotAt;
    private long handledSnapshotRequests;

    /** Creates the policy; the first event that is enqueued gets a snapshot before it. */
    public TapPolicy(long snapshotInterval, int queueCapacity) {
        this.snapshotInterval = snapshotInterval;
        this.queueCapacity = queueCapacity;
    }

    /**
     * Decides on the next event.
     *
     * @param queuedItems number of entries in the queue now
     * @param writerReady whether the writer has an open segment
     * @param snapshotRequests number of snapshots that the writer has requested so far
     */
    public Decision decide(long now, int queuedItems, boolean writerReady, long snapshotRequests) {
        // The queue must have two free slots: for a snapshot and for the event itself.
        if (!writerReady
                || queuedItems > queueCapacity - 2
                || snapshotNeeded && droppedCount > 0 && queuedItems > queueCapacity / 2) {
            drop(now);
            return Decision.DROP;
        }
        if (snapshotNeeded
                || snapshotRequests != handledSnapshotRequests
                || now - lastSnapshotAt >= snapshotInterval
                || now < lastSnapshotAt) {
            snapshotNeeded = false;
            handledSnapshotRequests = snapshotRequests;
            lastSnapshotAt = now;
            return Decision.SNAPSHOT_FIRST;
        }
        return Decision.ENQUEUE;
    }

    /**
     * Records that an event that was to be enqueued is dropped: the balancer failed on it, and the balancer's state is
     * unknown.
     */
    public void onEventFailed(long now) {
        drop(now);
    }

    /** Returns the events dropped since the last call and clears them; null if there were none. */
    public DroppedEvents takeDropped() {
        DroppedEvents dropped =
                droppedCount == 0 ? null : new DroppedEvents(firstDroppedAt, lastDroppedAt, droppedCount);
        droppedCount = 0;
        return dropped;
    }

    private void drop(long now) {
        snapshotNeeded = true;
        firstDroppedAt = droppedCount == 0 ? now : firstDroppedAt;
        lastDroppedAt = now;
        droppedCount++;
    }
}

package weldhitch.capture.policy;

/**
 * Decides what the writer thread of a capture does: when a block is flushed, when a new segment is opened, and,
 * after a disk error, when to retry (exponential backoff). Times are nanoseconds. Belongs to the writer thread;
 * not thread-safe.
 */
public final class WriterPolicy {
    private static final long INITIAL_BACKOFF = CaptureLimits.NANOS_PER_SECOND;
    private static final long MAX_BACKOFF = 30 * CaptureLimits.NANOS_PER_SECOND;
    /** A block is flushed no later than this time after its first entry, in nanoseconds. */
    private static final long MAX_FLUSH_DELAY = CaptureLimits.NANOS_PER_SECOND;

    private final CaptureLimits limits;
    private boolean segmentOpen;
    private long segmentOpenedAt;
    private long oldestUnflushedAt = -1;
    private long backoff = INITIAL_BACKOFF;
    private long retryAt = Long.MIN_VALUE;
    private boolean failureReported;
    /** Set after an event that could not be written: all events are dropped up to the next snapshot. */
    private boolean awaitingSnapshot;

    private boolean snapshotRequested;
    /** Events of the current block, which count as dropped if it cannot be written. Null if it has none. */
    private DroppedEvents unflushed;

    private DroppedEvents dropped;

    /** Creates the policy with no segment open. */
    public WriterPolicy(CaptureLimits limits) {
        this.limits = limits;
    }

    /** Returns whether to try to open a segment: none is open and the backoff has passed. */
    public boolean shouldOpenSegment(long now) {
        return !segmentOpen && now >= retryAt;
    }

    /** Records that a segment was opened; it accepts events only after a snapshot. */
    public void onSegmentOpened(long now) {
        segmentOpen = true;
        awaitingSnapshot = true;
        segmentOpenedAt = now;
        oldestUnflushedAt = -1;
    }

    /** Records that a block was written: an earlier disk error is over, and the backoff is reset. */
    public void onBlockWritten() {
        oldestUnflushedAt = -1;
        unflushed = null;
        backoff = INITIAL_BACKOFF;
        failureReported = false;
    }

    /** Records that a write failed. Returns whether to log it: only the first failure since the last success is. */
    public boolean onWriteFailed(long now) {
        segmentOpen = false;
        dropped = unflushed == null ? dropped : unflushed.merge(dropped);
        unflushed = null;
        retryAt = now + backoff;
        backoff = Math.min(MAX_BACKOFF, 2 * backoff);
        boolean firstFailure = !failureReported;
        failureReported = true;
        return firstFailure;
    }

    /** Returns whether a segment is open. */
    public boolean hasOpenSegment() {
        return segmentOpen;
    }

    /**
     * Returns whether to write an event. Events after a dropped one cannot be replayed up to the next snapshot, so
     * they are not written.
     */
    public boolean acceptsEvents() {
        return segmentOpen && !awaitingSnapshot;
    }

    /** Records that an event with this timestamp was added to the current block at {@code now}. */
    public void onEventAdded(long now, long eventTime) {
        oldestUnflushedAt = oldestUnflushedAt < 0 ? now : oldestUnflushedAt;
        unflushed = new DroppedEvents(eventTime, eventTime, 1).merge(unflushed);
    }

    /** Records a dropped event with this timestamp: no segment was open, or the event could not be encoded. */
    public void onEventDropped(long eventTime) {
        awaitingSnapshot = true;
        dropped = new DroppedEvents(eventTime, eventTime, 1).merge(dropped);
    }

    /** Records that a snapshot was dropped; the next snapshot reports the dropped events that this one contained. */
    public void onSnapshotDropped(DroppedEvents droppedBefore) {
        dropped = droppedBefore == null ? dropped : droppedBefore.merge(dropped);
    }

    /**
     * Records that a snapshot starts a block, so that events can be written again.
     *
     * @param droppedBefore the events dropped before it on the node's side, or null
     * @return all events dropped before it, or null; they are reported again if the block cannot be written
     */
    public DroppedEvents onSnapshotAdded(long now, DroppedEvents droppedBefore) {
        onSnapshotDropped(droppedBefore);
        unflushed = dropped;
        dropped = null;
        awaitingSnapshot = false;
        snapshotRequested = false;
        oldestUnflushedAt = oldestUnflushedAt < 0 ? now : oldestUnflushedAt;
        return unflushed;
    }

    /**
     * Returns whether to request a snapshot now: when the segment is due for rotation or its string table is nearly
     * full. A snapshot is requested only once until it arrives.
     *
     * @param segmentBytes size of the open segment
     */
    public boolean shouldRequestSnapshot(long now, long segmentBytes, boolean stringTableNearlyFull) {
        boolean request = !snapshotRequested && (stringTableNearlyFull || shouldRotate(now, segmentBytes));
        snapshotRequested |= request;
        return request;
    }

    /** Returns whether to flush the current block. */
    public boolean shouldFlush(long now, boolean blockFull) {
        return segmentOpen && oldestUnflushedAt >= 0 && (blockFull || now - oldestUnflushedAt >= MAX_FLUSH_DELAY);
    }

    /** Returns whether the segment is large or old enough to be closed at the next snapshot. */
    public boolean shouldRotate(long now, long segmentBytes) {
        return segmentOpen
                && (segmentBytes >= limits.maxSegmentBytes() || now - segmentOpenedAt >= limits.maxSegmentAge());
    }
}

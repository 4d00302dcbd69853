package weldhitch.capture.policy;

/**
 * Decides, event by event, what the node's side of a capture does: hand the event over, with a snapshot before it or
 * without, or leave it out because the writer is behind. It never waits. After the first one left out, events are left
 * out until half of the queue is free and a snapshot goes ahead, so that replay can begin anew. Times are nanoseconds.
 */
public final class TapPlan {
    /** What to do with the event at hand. */
    public enum Step { HAND_OVER, SNAPSHOT_FIRST, LEAVE_OUT }

    private final long snapshotEvery;
    private final int queue;
    private boolean behind = true;
    private long lost;
    private long lostFrom;
    private long lostTo;
    private long snapshotAt;
    private long wishesGranted;

    public TapPlan(long snapshotEvery, int queue) {
        this.snapshotEvery = snapshotEvery;
        this.queue = queue;
    }

    /**
     * @param waiting entries in the queue now
     * @param writing whether the writer has somewhere to write
     * @param wishes how often the writer has wished for a snapshot until now
     */
    public Step next(long now, int waiting, boolean writing, long wishes) {
        // Room for a snapshot and the event itself.
        if (!writing || waiting > queue - 2 || behind && lost > 0 && waiting > queue / 2) {
            leaveOut(now);
            return Step.LEAVE_OUT;
        }
        if (behind || wishes != wishesGranted || now - snapshotAt >= snapshotEvery || now < snapshotAt) {
            behind = false;
            wishesGranted = wishes;
            snapshotAt = now;
            return Step.SNAPSHOT_FIRST;
        }
        return Step.HAND_OVER;
    }

    /** An event that was to be handed over can't be: the module failed on it, and nobody knows what it left. */
    public void failed(long now) {
        leaveOut(now);
    }

    /** What has been left out since this was last asked; null where nothing was. */
    public Missed missed() {
        Missed missed = lost == 0 ? null : new Missed(lostFrom, lostTo, lost);
        lost = 0;
        return missed;
    }

    private void leaveOut(long now) {
        behind = true;
        lostFrom = lost == 0 ? now : lostFrom;
        lostTo = now;
        lost++;
    }
}

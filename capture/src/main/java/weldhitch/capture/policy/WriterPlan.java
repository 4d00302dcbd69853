package weldhitch.capture.policy;

/**
 * Decides what the writer's side of a capture does: when a block is written, when a new segment begins, and, where the
 * disk fails it, when to try again. Times are nanoseconds.
 */
public final class WriterPlan {
    private static final long FIRST_PAUSE = CaptureRules.SECOND;
    private static final long LONGEST_PAUSE = 30 * CaptureRules.SECOND;
    /** A block is written no later than so long after its first entry. */
    private static final long FLUSH_AFTER = CaptureRules.SECOND;

    private final CaptureRules rules;
    private boolean writing;
    private long begunAt;
    private long firstUnwrittenAt = -1;
    private long pause = FIRST_PAUSE;
    private long tryAt = Long.MIN_VALUE;
    private boolean complained;
    /** After what could not be written, all is left out up to the next snapshot. */
    private boolean brokenOff;
    private boolean wished;
    /** Events of the block at hand: lost where it can't be written. */
    private Missed unwritten;
    private Missed missed;

    public WriterPlan(CaptureRules rules) {
        this.rules = rules;
    }

    /** Whether to try to begin a segment where there is none. */
    public boolean shouldBegin(long now) {
        return !writing && now >= tryAt;
    }

    public void begun(long now) {
        writing = true;
        brokenOff = true;
        begunAt = now;
        firstUnwrittenAt = -1;
    }

    /** A block has reached the disk: whatever ailed it is over. */
    public void written() {
        firstUnwrittenAt = -1;
        unwritten = null;
        pause = FIRST_PAUSE;
        complained = false;
    }

    /** The disk failed; true where this is to be said, once until something has been written again. */
    public boolean failed(long now) {
        writing = false;
        missed = unwritten == null ? missed : unwritten.and(missed);
        unwritten = null;
        tryAt = now + pause;
        pause = Math.min(LONGEST_PAUSE, 2 * pause);
        boolean say = !complained;
        complained = true;
        return say;
    }

    /** Whether there is a segment to write to. */
    public boolean writing() {
        return writing;
    }

    /** Whether an event is to be written; what follows one that was not is of no use up to the next snapshot. */
    public boolean takesEvents() {
        return writing && !brokenOff;
    }

    /** An event of this time was written to the block at hand, at {@code now}. */
    public void added(long now, long eventTime) {
        firstUnwrittenAt = firstUnwrittenAt < 0 ? now : firstUnwrittenAt;
        unwritten = new Missed(eventTime, eventTime, 1).and(unwritten);
    }

    /** An event of this time was not: there was nowhere to write it, or it did not fit. */
    public void leftOut(long eventTime) {
        brokenOff = true;
        missed = new Missed(eventTime, eventTime, 1).and(missed);
    }

    /** A snapshot came that there was nowhere to write; what it said to be missing still is. */
    public void snapshotLost(Missed said) {
        missed = said == null ? missed : said.and(missed);
    }

    /**
     * A snapshot is put at the beginning of a block, and events can be written again.
     *
     * @param said what it says to be missing before it, or null
     * @return all that is missing before it, or null; missing still where the block can't be written
     */
    public Missed snapshot(long now, Missed said) {
        snapshotLost(said);
        unwritten = missed;
        missed = null;
        brokenOff = false;
        wished = false;
        firstUnwrittenAt = firstUnwrittenAt < 0 ? now : firstUnwrittenAt;
        return unwritten;
    }

    /** Whether to wish for a snapshot now: once until one comes, where it must end a segment or words run out. */
    public boolean shouldWish(long now, long bytes, boolean wordsRunOut) {
        boolean wish = !wished && (wordsRunOut || shouldRotate(now, bytes));
        wished |= wish;
        return wish;
    }

    /** Whether the block at hand is to be written. */
    public boolean shouldFlush(long now, boolean full) {
        return writing && firstUnwrittenAt >= 0 && (full || now - firstUnwrittenAt >= FLUSH_AFTER);
    }

    /** Whether the segment is long or old enough to end with the next snapshot. */
    public boolean shouldRotate(long now, long bytes) {
        return writing && (bytes >= rules.segmentBytes() || now - begunAt >= rules.segmentAge());
    }
}

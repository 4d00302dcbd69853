package weldhitch.decision;

/**
 * Whether an attempt may begin: asked once, as its first byte is about to be written, on a new connection and on one that is
 * used again alike. Between the decision to send and that moment lies a dial, which may take as long as the settings allow,
 * and in it its caller may go, its time or its servers' memory of it run out, and its server drain, start anew or move. An
 * attempt that may not begin ends as never run, so that the module may place its request anew.
 *
 * <p>Free of I/O, clock and threads; times are nanoseconds of the caller's clock.
 */
public final class LastCheck {
    /** The incarnation of a server that the list no longer names. */
    public static final long NOT_LISTED = -1;

    /** Why an attempt may not begin; {@link #BEGINS} where it may. */
    public enum Verdict {
        BEGINS,
        /** Nobody waits for it: its request is answered, its caller has gone, or it was given up. */
        UNWANTED,
        /** What it may take is over. */
        PAST_DEADLINE,
        /** An earlier attempt may have run, and servers no longer remember its key. */
        WINDOW_OVER,
        /** The list no longer names its server. */
        GONE,
        /** Its server has started anew since, or is reached elsewhere: what it was chosen by says nothing of it now. */
        REPLACED,
        /** Its server takes nothing new. */
        DRAINING
    }

    private LastCheck() {
    }

    /**
     * @param wanted whether its request still waits for an answer by it
     * @param until when what it may take is over
     * @param repeatUntil until when servers discard it where an earlier attempt has run; the most there is where none may have
     * @param chosen the incarnation that its server had when it was chosen
     * @param listed the one it has now, or {@link #NOT_LISTED}
     * @param draining whether its server drains now
     */
    public static Verdict of(boolean wanted, long now, long until, long repeatUntil, long chosen, long listed, boolean draining) {
        if (!wanted) {
            return Verdict.UNWANTED;
        } else if (now >= until) {
            return Verdict.PAST_DEADLINE;
        } else if (now >= repeatUntil) {
            return Verdict.WINDOW_OVER;
        } else if (listed == NOT_LISTED) {
            return Verdict.GONE;
        } else if (listed != chosen) {
            return Verdict.REPLACED;
        }
        return draining ? Verdict.DRAINING : Verdict.BEGINS;
    }
}

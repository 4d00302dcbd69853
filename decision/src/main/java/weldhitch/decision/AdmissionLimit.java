package weldhitch.decision;

/**
 * How many requests a node lets in at once, learned from how its answers come: the limit stays where a tenth of them
 * miss their aim. The last part of it is kept for requests worth more than usual.
 */
final class AdmissionLimit {
    private static final double OPEN_TO_ALL = 0.7;
    private static final double LEAST = 8;
    /** What one server is guessed to take at once before any answer has come. */
    private static final double FIRST_PER_SERVER = 6;
    /** The share of answers past their aim at which the limit stays where it is. */
    private static final double LATE_SHARE = 0.1;
    private static final int SLOW_ENOUGH = 4;

    double limit = LEAST;
    int admitted;
    /** Whether answers have moved the limit from its first guess. */
    boolean learning;
    /** Whether nothing has yet told that servers have enough. */
    boolean starting = true;
    /** The quickest answer so far, as a share of its aim. */
    double quickest = Double.MAX_VALUE;
    /** By how many the slow answers of the slow start outnumber the quick ones, never below 0. */
    int slow;
    /** The strength of the servers that the limit stands for. */
    double learnedOver = 1;

    boolean hasRoom(boolean worthMore) {
        return admitted < (worthMore ? limit : OPEN_TO_ALL * limit);
    }

    void enter() {
        admitted++;
    }

    void leave() {
        admitted--;
    }

    /**
     * The list has changed: so many servers are ready, shared with so many nodes, and together they have this
     * strength (the sum of their sizes). What was learned over more or fewer servers holds in proportion.
     */
    void servers(int ready, double strength, int siblings) {
        if (!learning) {
            limit = Math.max(LEAST, FIRST_PER_SERVER * ready / siblings);
        } else if (strength > 0) {
            limit = Math.max(LEAST, limit * strength / learnedOver);
        }
        if (strength > 0) {
            learnedOver = strength;
        }
    }

    /**
     * Moves the limit with an answer that took {@code taken} and is wanted within {@code aim}: up by a little for one
     * in time while the limit is in use, down by much for a late one. A limit that stays at its first guess turns
     * away what idle servers could do; one that grows while little of it is used says nothing of what they can do
     * (RFC 7661 for the like in TCP).
     *
     * <p>A node that has just started guesses low, and may be the only one: until the first sign that servers have
     * enough, each answer raises it by one, so that it doubles with each round trip (slow start, RFC 5681 section
     * 3.1). One turned away as full is such a sign; so are answers that took half their aim and twice what the
     * quickest took, once they outnumber the others by {@value #SLOW_ENOUGH}. By itself a slow answer says little:
     * the first ones of a fresh fleet are slow with nothing else to do (RFC 9406 section 4.2 asks for eight).
     */
    void answered(long taken, long aim) {
        if (starting) {
            double share = (double) taken / aim;
            quickest = Math.min(quickest, share);
            slow = Math.max(0, slow + (share >= 0.5 && share >= 2 * quickest ? 1 : -1));
            starting = slow < SLOW_ENOUGH;
        }
        if (taken > aim) {
            lower();
        } else if (admitted >= OPEN_TO_ALL * limit) {
            learning = true;
            limit += starting ? 1 : LATE_SHARE;
        }
    }

    /** A server turned a request away as full: by one alone it may be chance, and the next has room. */
    void turnedAway() {
        starting = false;
    }

    /** A request was turned away as full by a second server in a row: more is let in than they hold. */
    void turnedAwayAgain() {
        lower();
    }

    private void lower() {
        learning = true;
        limit = Math.max(LEAST, limit - (1 - LATE_SHARE));
    }
}

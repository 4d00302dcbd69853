package weldhitch.fleet.locality;

import java.util.List;

/** The zones that a request may go to by its rule. Belongs to one request; not thread-safe. */
public final class ZoneSelection {
    /** The priority level of a request that may go nowhere. */
    static final int NO_LEVEL = -1;

    private final Spillover spillover;
    private final int priorityLevel;
    private final List<String> zones;
    private boolean paidByToken;

    ZoneSelection(Spillover spillover, int priorityLevel, List<String> zones, boolean paidByToken) {
        this.spillover = spillover;
        this.priorityLevel = priorityLevel;
        this.zones = zones;
        this.paidByToken = paidByToken;
    }

    /** The state of the rule that made this selection. */
    Spillover spillover() {
        return spillover;
    }

    /**
     * The priority level, counted from 0; below 0 if the request may go nowhere, past the last level if it
     * may go to any zone of the rule.
     */
    public int priorityLevel() {
        return priorityLevel;
    }

    /** The zones that the request may be sent to; empty for none. */
    public List<String> zones() {
        return zones;
    }

    /** Whether the attempt sent now is paid for by a token: true once, as the selection took one token. */
    boolean claimTokenPayment() {
        boolean claimed = paidByToken;
        paidByToken = false;
        return claimed;
    }
}

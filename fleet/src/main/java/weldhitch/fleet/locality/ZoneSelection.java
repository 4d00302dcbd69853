package weldhitch.fleet.locality;

import java.util.List;

/** The zones that a request may be sent to under its rule. Belongs to one request; not thread-safe. */
public final class ZoneSelection {
    /** The priority level of a request that may not be sent to any zone. */
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

    /** Returns the state of the rule that made this selection. */
    Spillover spillover() {
        return spillover;
    }

    /**
     * Returns the priority level, counted from 0; below 0 if the request may not be sent to any zone, past the last
     * level if it may be sent to any zone that the rule permits.
     */
    public int priorityLevel() {
        return priorityLevel;
    }

    /** Returns the zones that the request may be sent to; empty for none. */
    public List<String> zones() {
        return zones;
    }

    /**
     * Returns whether a token pays for the attempt sent now: true at most once, because the selection took one token.
     */
    boolean claimTokenPayment() {
        boolean claimed = paidByToken;
        paidByToken = false;
        return claimed;
    }
}

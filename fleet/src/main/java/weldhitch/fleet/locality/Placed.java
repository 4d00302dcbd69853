package weldhitch.fleet.locality;

import java.util.List;

/** The zones that a request may go to by its rule. Belongs to one request; not thread-safe. */
public final class Placed {
    private final Spillover by;
    private final int step;
    private final List<String> zones;
    private boolean paid;

    Placed(Spillover by, int step, List<String> zones, boolean paid) {
        this.by = by;
        this.step = step;
        this.zones = zones;
        this.paid = paid;
    }

    /** The state of the rule that made this selection. */
    Spillover by() {
        return by;
    }

    /**
     * The priority level, counted from 0; below 0 if the request may go nowhere, past the last level if it
     * may go to any zone of the rule.
     */
    public int step() {
        return step;
    }

    /** The zones that the request may be sent to; empty for none. */
    public List<String> zones() {
        return zones;
    }

    /** Whether the attempt sent now is paid for by a token: true once, as the selection took one token. */
    boolean pays() {
        boolean pays = paid;
        paid = false;
        return pays;
    }
}

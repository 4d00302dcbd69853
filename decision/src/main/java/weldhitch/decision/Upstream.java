package weldhitch.decision;

import java.util.ArrayDeque;
import weldhitch.decision.Balancing.ServerEntry;
import weldhitch.decision.Balancing.ServerState;

/**
 * What is known of one server: its line of the list, its last round trips as multiples of their class's usual one, its
 * failures, its credit while it is cold, and the attempts it has out. Times are nanoseconds.
 */
final class Upstream {
    /** Round trips a server's mean is taken over (the paper's averaged variant). */
    static final int WINDOW = 20;
    /** Time in which an old mean loses most of its distance to t_b, and a share of errors its height. */
    static final double FADE = 10e9;
    private static final double ERROR_STEP = 0.1;

    final String id;
    final int place;
    final String zone;
    final long cell;
    final long startedAt;
    final Failures failures = new Failures();
    /** Shared with all servers of its zone. */
    final Failures zoneFailures;
    /** Attempts that wait for its answer, the oldest first. */
    final ArrayDeque<Attempt> out = new ArrayDeque<>();
    final double[] window = new double[WINDOW];
    ServerState state;
    double size;
    /** Calls that it may be sent while it is cold. */
    double credit;
    boolean isColdListed;
    double errorShare;
    /** Of the window, kept as it changes: rounding and all, it is part of what is known. */
    double sum;
    int count;
    int next;
    long sampledAt;
    long heardAt;
    /** Its mean for the draw at hand. */
    double drawMean;
    /** The snapshot in the making that has yet to save this server, and its place there; null where none has. */
    SnapshotInParts wantedBy;
    int savedAs;

    Upstream(String id, String zone, long cell, long startedAt, Failures zoneFailures) {
        this.id = id;
        this.place = Balancing.place(id);
        this.zone = zone;
        this.cell = cell;
        this.startedAt = startedAt;
        this.zoneFailures = zoneFailures;
    }

    /** Ahead of each change. */
    private void changes() {
        if (wantedBy != null) {
            wantedBy.keep(this);
        }
    }

    void take(ServerEntry entry) {
        changes();
        state = entry.state();
        size = entry.weight() > 0 ? entry.weight() : 1;
    }

    /** An attempt goes out to it, which a cold one pays for. */
    void sent(Attempt attempt) {
        changes();
        out.addLast(attempt);
        credit -= isColdListed ? 1 : 0;
    }

    /** An attempt no longer waits for its answer. */
    void ended(Attempt attempt) {
        changes();
        out.remove(attempt);
    }

    /** It has said something. */
    void heard(long now) {
        changes();
        heardAt = now;
    }

    void credit(double earned) {
        changes();
        credit = Math.min(2, credit + earned);
    }

    void cold(boolean coldNow) {
        if (isColdListed != coldNow) {
            changes();
            isColdListed = coldNow;
        }
    }

    void served(double roundTrip, long now) {
        changes();
        sum += roundTrip - (count == WINDOW ? window[next] : 0);
        window[next] = roundTrip;
        next = (next + 1) % WINDOW;
        count = Math.min(WINDOW, count + 1);
        sampledAt = now;
        failures.clear();
        errorShare -= ERROR_STEP * errorShare;
        zoneFailures.clear();
    }

    /** {@code error}: it answered with one; {@code silent}: no answer came, which soon speaks for all of its zone. */
    void failed(boolean error, boolean silent, long now) {
        changes();
        if (error) {
            double errors = errorsNow(now);
            errorShare = errors + ERROR_STEP * (1 - errors);
        }
        failures.add(now);
        if (silent) {
            zoneFailures.add(now);
        }
    }

    private double errorsNow(long now) {
        return errorShare == 0 ? 0 : errorShare * Math.exp((failures.at - now) / FADE);
    }

    /** What failures leave of its chance. */
    double chanceLeft(long now) {
        double served = Math.pow(1 - errorsNow(now), 3);
        return failures.factor(now) * zoneFailures.factor(now) * Math.max(Failures.LEAST_CHANCE, served);
    }

    double mean() {
        return Math.max(1e-6, sum / count);
    }

    /**
     * Its mean for the draw: that of its window, sliding to t_b as it ages. A silent or stalled server keeps its old
     * mean, so the time since it was last heard of, with a call out, is a lower bound.
     */
    double meanNow(double best, long now) {
        double mean = best;
        if (count > 0) {
            mean = best + (mean() - best) * Math.exp((sampledAt - now) / FADE);
        }
        Attempt oldest = out.peekFirst();
        if (oldest != null) {
            double silence = (now - Math.max(oldest.sentAt, heardAt)) / oldest.request.usual();
            mean = Math.max(mean, silence) * (1 + out.size());
        }
        return mean;
    }
}

package weldhitch.decision;

import java.util.List;
import weldhitch.decision.Balancing.Action;

/** A running digest of decisions, the same on every run of every build that decides alike. */
public final class Digest {
    private Digest() {
    }

    public static long of(long before, long now, List<Action> actions) {
        long digest = before * 0x9E3779B97F4A7C15L + now;
        for (Action action : actions) {
            digest = (digest ^ digest >>> 29) * 0xBF58476D1CE4E5B9L + action.toString().hashCode();
        }
        return digest;
    }
}

package weldhitch.decision;

/**
 * A token bucket for a tenant's requests: it holds the tokens of one second at most, but at least one. Times
 * are nanoseconds. Not thread-safe; owned by the balancer's thread.
 */
final class Quota {
    final double perSecond;
    double left;
    long at;
    boolean used;

    Quota(double perSecond) {
        this.perSecond = perSecond;
        this.left = perSecond;
    }

    /** Takes a token if there is one. */
    boolean take(long now) {
        left = Math.min(Math.max(1, perSecond), left + perSecond * (used ? now - at : 0) / 1e9);
        at = now;
        used = true;
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }

    /** Returns the nanoseconds until the next token is available; 0 if one is. */
    long untilNext() {
        return left >= 1 ? 0 : (long) Math.min(Long.MAX_VALUE / 4.0, (1 - left) / perSecond * 1e9);
    }
}

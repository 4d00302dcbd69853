package weldhitch.decision;

/** A token bucket: so many a second, saved up for one second at most, one at least. */
final class Quota {
    final double perSecond;
    double left;
    long at;
    boolean used;

    Quota(double perSecond) {
        this.perSecond = perSecond;
        this.left = perSecond;
    }

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

    /** Nanoseconds until the next one is there. */
    long untilNext() {
        return left >= 1 ? 0 : (long) Math.min(Long.MAX_VALUE / 4.0, (1 - left) / perSecond * 1e9);
    }
}

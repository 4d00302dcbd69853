package weldhitch.decision.balancing;

/**
 * A token bucket for a tenant's requests. Its capacity is the number of tokens of one second, but at least one token.
 * Times are nanoseconds. Not thread-safe; owned by the balancer's thread.
 */
final class TokenBucket {
    final double perSecond;
    double tokens;
    long refilledAt;
    boolean everUsed;

    TokenBucket(double perSecond) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
    }

    /** Takes a token if there is one, and returns whether there was. */
    boolean tryTake(long now) {
        tokens = Math.min(Math.max(1, perSecond), tokens + perSecond * (everUsed ? now - refilledAt : 0) / 1e9);
        refilledAt = now;
        everUsed = true;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the time in nanoseconds until the next token is available; 0 if one is. */
    long nanosUntilNextToken() {
        return tokens >= 1 ? 0 : (long) Math.min(Long.MAX_VALUE / 4.0, (1 - tokens) / perSecond * 1e9);
    }
}

package weldhitch.fleet.locality;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Limits what a node sends to zones other than its own to its quota grants: one token bucket per zone, shared by all
 * rules of the node. Owned by {@link ZoneSelector}; not thread-safe.
 */
final class SpillTokens {
    /** Capacity of a bucket in seconds of its grant's rate: permits a burst. Tokens never become negative. */
    private static final double BURST_SECONDS = 0.25;

    private static final double NANOS_PER_SECOND = 1e9;

    /** The token bucket of one zone, as of its last refill. */
    private static final class Bucket {
        QuotaGrant grant = QuotaGrant.NONE;
        double tokens;
        long refilledAt;
    }

    private final Map<String, Bucket> buckets = new TreeMap<>();

    /** Replaces the grant for a zone; saved tokens are kept up to the new burst size. */
    void replaceGrant(String zone, QuotaGrant grant, long now) {
        Bucket bucket = buckets.computeIfAbsent(zone, name -> new Bucket());
        refill(bucket, now);
        bucket.grant = grant;
        bucket.tokens = Math.min(bucket.tokens, burstSize(grant));
    }

    private static double burstSize(QuotaGrant grant) {
        return grant.callsPerSecond() <= 0 ? 0 : Math.max(1, grant.callsPerSecond() * BURST_SECONDS);
    }

    private static void refill(Bucket bucket, long now) {
        if (now >= bucket.grant.expiresAt()) {
            bucket.tokens = 0;
        } else {
            bucket.tokens = Math.min(
                    burstSize(bucket.grant),
                    bucket.tokens
                            + bucket.grant.callsPerSecond() * Math.max(0, now - bucket.refilledAt) / NANOS_PER_SECOND);
        }
        bucket.refilledAt = Math.max(bucket.refilledAt, now);
    }

    /**
     * Takes a token of the candidate zone that has the most tokens, and returns that zone; returns null if no candidate
     * has a token.
     */
    String takeToken(Set<String> candidates, long now) {
        String fullest = null;
        double fullestTokens = 1;
        for (String zone : candidates) {
            Bucket bucket = buckets.get(zone);
            if (bucket != null) {
                refill(bucket, now);
                if (bucket.tokens >= fullestTokens) {
                    fullest = zone;
                    fullestTokens = bucket.tokens;
                }
            }
        }
        if (fullest != null) {
            buckets.get(fullest).tokens -= 1;
        }
        return fullest;
    }

    /** Returns the rate that may be sent to the zone now, in calls per second. */
    double grantedRate(String zone, long now) {
        return hasCurrentGrant(zone, now) ? buckets.get(zone).grant.callsPerSecond() : 0;
    }

    /** Returns whether the zone has a grant that has not expired, even if its rate is 0. */
    boolean hasCurrentGrant(String zone, long now) {
        Bucket bucket = buckets.get(zone);
        return bucket != null && now < bucket.grant.expiresAt();
    }
}

package weldhitch.client.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The retry, throttling and ejection settings of a client; durations are nanoseconds. Immutable.
 *
 * @param maxAttempts maximum number of attempts of one call, including the first; 1 to 10
 * @param initialBackoff minimum backoff, from which backoffs grow (decorrelated jitter); 1 ms to 1 minute
 * @param maxBackoff maximum backoff, to which Retry-After is added; from {@code initialBackoff} to 10 minutes
 * @param retryRatio retry tokens earned by each call; 0 to 1
 * @param minRetriesPerSecond retry tokens earned each second, whatever the number of calls; 0 to 1000
 * @param throttleMultiplier multiple of the accepted requests up to which the throttle lets requests through (Site
 *     Reliability Engineering, chapter 21); 1.1 to 100
 * @param ejectionThreshold consecutive failures after which a node is ejected; 1 to 1000
 * @param minReconnectWindow initial length of the window over which reconnects to a lost node are spread; 10 ms to 10
 *     minutes
 * @param maxReconnectWindow maximum length of that window, which grows with the outage; from
 *     {@code minReconnectWindow} to 1 hour
 * @param subsetSize how many of the nodes this client uses; 1 or more
 * @param deduplicationWindow deduplication window of the servers; 0 if they do not deduplicate
 * @param globallyDeduplicatedClasses request classes whose repeats all servers discard by the idempotency key, not only
 *     those of one zone or cell; counts for as long as no node has stated the deduplication scope of the class
 */
public record ClientPolicy(
        int maxAttempts,
        long initialBackoff,
        long maxBackoff,
        double retryRatio,
        double minRetriesPerSecond,
        double throttleMultiplier,
        int ejectionThreshold,
        long minReconnectWindow,
        long maxReconnectWindow,
        int subsetSize,
        long deduplicationWindow,
        Set<String> globallyDeduplicatedClasses) {
    public static final long MS = 1_000_000L;
    public static final long SECOND = 1_000 * MS;
    public static final ClientPolicy DEFAULTS =
            new ClientPolicy(3, 100 * MS, 10 * SECOND, 0.1, 0.2, 2, 3, SECOND, 60 * SECOND, 3, 0);

    /**
     * Validates all components.
     *
     * @throws IllegalArgumentException if components are out of range; the message names all of them
     */
    public ClientPolicy {
        globallyDeduplicatedClasses = Set.copyOf(globallyDeduplicatedClasses);
        List<String> errors = new ArrayList<>();
        check(errors, maxAttempts >= 1 && maxAttempts <= 10, "maxAttempts", maxAttempts, "1 to 10");
        check(
                errors,
                initialBackoff >= MS && initialBackoff <= 60 * SECOND,
                "initialBackoff",
                initialBackoff,
                "1 ms to 1 minute, in nanoseconds");
        check(
                errors,
                maxBackoff >= initialBackoff && maxBackoff <= 600 * SECOND,
                "maxBackoff",
                maxBackoff,
                "initialBackoff to 10 minutes, in nanoseconds");
        check(errors, retryRatio >= 0 && retryRatio <= 1, "retryRatio", retryRatio, "0 to 1");
        check(
                errors,
                minRetriesPerSecond >= 0 && minRetriesPerSecond <= 1000,
                "minRetriesPerSecond",
                minRetriesPerSecond,
                "0 to 1000");
        check(
                errors,
                throttleMultiplier >= 1.1 && throttleMultiplier <= 100,
                "throttleMultiplier",
                throttleMultiplier,
                "1.1 to 100");
        check(
                errors,
                ejectionThreshold >= 1 && ejectionThreshold <= 1000,
                "ejectionThreshold",
                ejectionThreshold,
                "1 to 1000");
        check(
                errors,
                minReconnectWindow >= 10 * MS && minReconnectWindow <= 600 * SECOND,
                "minReconnectWindow",
                minReconnectWindow,
                "10 ms to 10 minutes, in nanoseconds");
        check(
                errors,
                maxReconnectWindow >= minReconnectWindow && maxReconnectWindow <= 3600 * SECOND,
                "maxReconnectWindow",
                maxReconnectWindow,
                "minReconnectWindow to 1 hour, in nanoseconds");
        check(errors, subsetSize >= 1, "subsetSize", subsetSize, "1 or more");
        check(errors, deduplicationWindow >= 0, "deduplicationWindow", deduplicationWindow, "0 or more nanoseconds");
        if (!errors.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", errors));
        }
    }

    /**
     * Creates a policy that declares no globally deduplicated classes: the scope of each class is what nodes state.
     *
     * @throws IllegalArgumentException if components are out of range; the message names all of them
     */
    public ClientPolicy(
            int maxAttempts,
            long initialBackoff,
            long maxBackoff,
            double retryRatio,
            double minRetriesPerSecond,
            double throttleMultiplier,
            int ejectionThreshold,
            long minReconnectWindow,
            long maxReconnectWindow,
            int subsetSize,
            long deduplicationWindow) {
        this(
                maxAttempts,
                initialBackoff,
                maxBackoff,
                retryRatio,
                minRetriesPerSecond,
                throttleMultiplier,
                ejectionThreshold,
                minReconnectWindow,
                maxReconnectWindow,
                subsetSize,
                deduplicationWindow,
                Set.of());
    }

    /** Returns a copy that declares these classes as globally deduplicated, in place of those it had. */
    public ClientPolicy withGloballyDeduplicatedClasses(String... requestClasses) {
        return new ClientPolicy(
                maxAttempts,
                initialBackoff,
                maxBackoff,
                retryRatio,
                minRetriesPerSecond,
                throttleMultiplier,
                ejectionThreshold,
                minReconnectWindow,
                maxReconnectWindow,
                subsetSize,
                deduplicationWindow,
                Set.of(requestClasses));
    }

    private static void check(List<String> errors, boolean valid, String name, Object value, String expected) {
        if (!valid) {
            errors.add(name + ": " + value + ", expected " + expected);
        }
    }
}

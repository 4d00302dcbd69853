package weldhitch.decision.settings;

/**
 * Thresholds of the platform's rules for slow start, draining and discovery. Durations are in nanoseconds.
 *
 * @param initialCapacity the fraction of its capacity that an endpoint has when it starts, 0 to 1
 * @param slowStartWindow the duration of slow start after an endpoint's start
 * @param overloadMultiple the multiple of its present capacity at which an endpoint in slow start is overloaded
 * @param overloadWindow the window over which that load is counted
 * @param drainGracePeriod how long requests may still be sent to an endpoint after it began to drain
 * @param answerGracePeriod how long the node may still answer a request after its deadline
 * @param maxPollInterval the longest time between two discovery polls
 */
public record PlatformRules(
        double initialCapacity,
        long slowStartWindow,
        double overloadMultiple,
        long overloadWindow,
        long drainGracePeriod,
        long answerGracePeriod,
        long maxPollInterval) {
    public PlatformRules {
        SettingRange.require(
                initialCapacity >= 0 && initialCapacity <= 1, "rules.startCapacity", initialCapacity, "0 to 1");
        SettingRange.require(slowStartWindow >= 0, "rules.coldSpan", slowStartWindow, "0 or more");
        SettingRange.require(overloadMultiple >= 0, "rules.fallMultiple", overloadMultiple, "0 or more");
        SettingRange.require(overloadWindow >= 0, "rules.fallSpan", overloadWindow, "0 or more");
        SettingRange.require(drainGracePeriod >= 0, "rules.drainGrace", drainGracePeriod, "0 or more");
        SettingRange.require(answerGracePeriod >= 0, "rules.answerSlack", answerGracePeriod, "0 or more");
        SettingRange.require(maxPollInterval >= 0, "rules.askEvery", maxPollInterval, "0 or more");
    }
}

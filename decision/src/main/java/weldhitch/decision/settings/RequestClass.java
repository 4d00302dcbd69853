package weldhitch.decision.settings;

import java.util.Objects;

/**
 * A class of requests.
 *
 * @param deduplicationScope the deduplication scope of requests with an idempotency key
 * @param deduplicationWindow the deduplication window in nanoseconds
 * @param latencyObjective the latency objective in nanoseconds; 0 for none
 * @param objectivePerWork the multiple of a request's own work by which its latency objective grows
 * @param deadline the longest time from a request's arrival to its deadline in nanoseconds; 0 if not stated
 * @param priorityWeight the priority weight of a request
 * @param lateWeight the weight of an answer that arrives after the latency objective
 * @param streamed whether answers are streamed
 */
public record RequestClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindow,
        long latencyObjective,
        double objectivePerWork,
        long deadline,
        double priorityWeight,
        double lateWeight,
        boolean streamed) {
    public RequestClass {
        Objects.requireNonNull(name, "classes.name");
        Objects.requireNonNull(idempotency, "classes.effect");
        Objects.requireNonNull(deduplicationScope, "classes.group");
        SettingRange.require(deduplicationWindow >= 0, "classes.memory", deduplicationWindow, "0 or more");
        SettingRange.require(latencyObjective >= 0, "classes.aim", latencyObjective, "0 or more");
        SettingRange.require(deadline >= 0, "classes.deadline", deadline, "0 or more");
        SettingRange.require(priorityWeight >= 0, "classes.worth", priorityWeight, "0 or more");
    }
}

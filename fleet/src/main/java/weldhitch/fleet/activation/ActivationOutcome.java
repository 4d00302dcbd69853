package weldhitch.fleet.activation;

import java.util.List;

/**
 * The outcome of the vote on a version. Immutable.
 *
 * @param version the version's number
 * @param committed whether the version was committed; otherwise it was aborted
 * @param clockId id of the fleet clock that {@code activationTime} refers to
 * @param activationTime the activation time, in nanoseconds of that clock
 * @param reasons why the version was aborted, one per line; null counts as empty
 */
public record ActivationOutcome(
        long version, boolean committed, String clockId, long activationTime, List<String> reasons) {
    /** Copies the list, so that the record stays immutable. */
    public ActivationOutcome {
        reasons = reasons == null ? List.of() : List.copyOf(reasons);
    }
}

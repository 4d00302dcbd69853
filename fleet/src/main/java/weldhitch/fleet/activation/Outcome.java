package weldhitch.fleet.activation;

import java.util.List;

/**
 * How the activation of a version was decided. Immutable.
 *
 * @param number the version's number
 * @param commit whether the version was committed; else it was aborted
 * @param clock id of the fleet clock that {@code activationTime} refers to
 * @param moment the activation time, in nanoseconds of that clock
 * @param reasons why the version was aborted, a line each; null counts as empty
 */
public record Outcome(long number, boolean commit, String clock, long moment, List<String> reasons) {
    /** Copies the list, so that the record stays immutable. */
    public Outcome {
        reasons = reasons == null ? List.of() : List.copyOf(reasons);
    }
}

package weldhitch.decision.action;

/**
 * Final answer: failed, with no promise about its effect.
 *
 * @param routeDeadlineExceeded whether the deadline that has passed was shortened by a route
 */
public record FailRequest(String requestId, boolean routeDeadlineExceeded) implements BalancerAction {
    /** A failure that no route's deadline caused. */
    public FailRequest(String requestId) {
        this(requestId, false);
    }
}

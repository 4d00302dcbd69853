package weldhitch.decision.action;

/**
 * Answers a request as failed. Unlike a rejected request, it may have been executed.
 *
 * @param routeDeadlineExceeded whether the request missed a deadline that its route had shortened
 */
public record FailRequest(String requestId, boolean routeDeadlineExceeded) implements BalancerAction {
    /** Creates a failure that was not caused by a route's deadline. */
    public FailRequest(String requestId) {
        this(requestId, false);
    }
}

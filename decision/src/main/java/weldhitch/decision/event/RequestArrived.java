package weldhitch.decision.event;

import java.util.List;

/**
 * Reports that a request has arrived.
 *
 * @param deadline the time after which an answer no longer counts
 * @param cost a hint of the request's work in seconds, 0 for none
 * @param clientRetry whether the client marks the request as a retry
 * @param method the method that routes match, null for none
 * @param target the request target that routes match, null for none
 * @param allowedZones the zones whose endpoints may serve the request; null for any zone; if empty, the request is
 *     rejected
 */
public record RequestArrived(
        String requestId,
        String requestClass,
        long deadline,
        String tenant,
        double cost,
        boolean clientRetry,
        String method,
        String target,
        List<String> allowedZones)
        implements BalancerEvent {
    public RequestArrived {
        allowedZones = allowedZones == null ? null : List.copyOf(allowedZones);
    }

    /** Creates a request that any zone may serve. */
    public RequestArrived(
            String requestId,
            String requestClass,
            long deadline,
            String tenant,
            double cost,
            boolean clientRetry,
            String method,
            String target) {
        this(requestId, requestClass, deadline, tenant, cost, clientRetry, method, target, null);
    }

    /** Creates a request that any zone may serve and that no route matches. */
    public RequestArrived(
            String requestId, String requestClass, long deadline, String tenant, double cost, boolean clientRetry) {
        this(requestId, requestClass, deadline, tenant, cost, clientRetry, null, null);
    }
}

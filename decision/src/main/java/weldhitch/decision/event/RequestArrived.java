package weldhitch.decision.event;

import java.util.List;

/**
 * A request arrived.
 *
 * @param deadline the time after which no answer counts
 * @param cost a hint of the request's work in seconds, 0 for none
 * @param clientRetry whether the client marks it as a retry
 * @param method matched by routes; null for none
 * @param target matched by routes; null for none
 * @param allowedZones the zones whose endpoints may serve it; null for any, empty for none, so that it is rejected
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

    /** A request that any zone may serve. */
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

    /** A request that no route matches and any zone may serve. */
    public RequestArrived(
            String requestId, String requestClass, long deadline, String tenant, double cost, boolean clientRetry) {
        this(requestId, requestClass, deadline, tenant, cost, clientRetry, null, null);
    }
}

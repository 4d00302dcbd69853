package weldhitch.decision.endpoint;

/**
 * Computes the positions of endpoints on the hash ring, by which balancers order the endpoint list. Used by the
 * balancer and by replay; stateless.
 */
public final class RingPosition {
    private RingPosition() {}

    /**
     * Returns an endpoint's position, from 0 to 2^31 - 1. It depends only on the endpoint's name, so it is the same on
     * all nodes.
     */
    public static int of(String endpointId) {
        return endpointId.hashCode() * 0x9E3779B1 >>> 1;
    }
}

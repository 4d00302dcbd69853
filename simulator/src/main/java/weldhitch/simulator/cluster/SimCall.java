package weldhitch.simulator.cluster;

/**
 * The work that a request causes at a server, the same for each attempt. Immutable.
 *
 * @param requestClass null if unknown
 * @param work amount of work, in the unit of the server model
 * @param externalWaitNanos nanoseconds that the request waits for other services
 */
public record SimCall(String requestClass, double work, long externalWaitNanos) {}

package weldhitch.simulator.cluster;

/**
 * What a request demands of a server, the same at each attempt. Immutable.
 *
 * @param requestClass null where it is not known
 * @param work in the unit of the server model
 * @param externalWaitNanos nanoseconds that it waits on others
 */
public record SimCall(String requestClass, double work, long externalWaitNanos) {}

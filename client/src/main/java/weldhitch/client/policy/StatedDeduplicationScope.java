package weldhitch.client.policy;

/** Which servers discard a repeat of a request by its idempotency key, as a node states it for a request class. */
public enum StatedDeduplicationScope {
    /** All servers, so that any node may forward a repeat. */
    ALL_SERVERS,
    /** Only the servers of one zone or cell, or none: another node may forward a repeat to a server outside of it. */
    LIMITED,
    /** The node was asked and stated nothing, as nodes of earlier releases do. */
    NOT_STATED
}

package weldhitch.fleet.locality;

/**
 * An endpoint as the node's endpoint list has it. Immutable.
 *
 * @param weight its relative capacity; 1 if the list names none
 * @param startedAt nanoseconds of the node's clock; 0 for long ago
 * @param ready whether new requests may go to it
 * @param removed whether it is removed from the list
 */
public record ZoneEndpoint(String name, String zone, double weight, long startedAt, boolean ready, boolean removed) {}

package weldhitch.fleet.locality;

/**
 * An endpoint in the node's endpoint list. Immutable.
 *
 * @param weight its relative capacity; 1 if the list states none
 * @param startedAt start time in nanoseconds of the node's clock; 0 if it started long ago
 * @param ready whether new requests may be sent to it
 * @param removed whether it is removed from the list
 */
public record ZoneEndpoint(String name, String zone, double weight, long startedAt, boolean ready, boolean removed) {}

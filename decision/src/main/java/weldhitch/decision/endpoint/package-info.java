/**
 * Immutable values that describe endpoints, shared by events, routes and snapshots.
 */
package weldhitch.decision.endpoint;

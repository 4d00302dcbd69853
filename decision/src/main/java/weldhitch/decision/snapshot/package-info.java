/**
 * A snapshot of a balancer as plain, immutable data that checks itself.
 */
package weldhitch.decision.snapshot;

/**
 * Snapshots of a balancer as plain, immutable data that validates itself.
 */
package weldhitch.decision.snapshot;

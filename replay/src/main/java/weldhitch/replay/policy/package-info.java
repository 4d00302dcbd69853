/** Checks the invariants of a node on its events and actions, without I/O, clock or threads. */
package weldhitch.replay.policy;

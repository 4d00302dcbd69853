/** The invariants that a node must keep, checked on its events and actions: free of I/O, clock and threads. */
package weldhitch.replay.policy;

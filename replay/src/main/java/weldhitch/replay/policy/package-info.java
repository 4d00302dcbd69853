/** The rules that a node must keep, as a judge of events and decisions: free of I/O, clock and threads. */
package weldhitch.replay.policy;

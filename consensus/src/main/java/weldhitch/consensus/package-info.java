/**
 * Paxos consensus on conflicting commands: pure decisions, free of I/O, clocks and threads. See
 * docs/design/control.md.
 */
package weldhitch.consensus;

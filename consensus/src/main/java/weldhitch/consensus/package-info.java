/**
 * Paxos consensus on conflicting commands: pure decisions, free of I/O, clocks and threads. See
 * docs/design/consensus.md.
 */
package weldhitch.consensus;

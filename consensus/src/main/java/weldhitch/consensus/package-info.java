/**
 * Paxos consensus on conflicting commands. Performs no I/O, reads no clock and starts no threads. See
 * docs/design/consensus.md.
 */
package weldhitch.consensus;

/**
 * Decides for a balancer node on admission, endpoint choice, retries and hedging. The package performs no I/O, reads
 * no clock and starts no threads: the same events and seed always produce the same actions.
 */
package weldhitch.decision;

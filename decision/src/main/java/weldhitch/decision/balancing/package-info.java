/**
 * The decisions of a balancer node on admission, endpoint selection, retries and hedging. The code does no I/O, reads
 * no clock and starts no threads; the same events and seed result in the same actions.
 */
package weldhitch.decision.balancing;

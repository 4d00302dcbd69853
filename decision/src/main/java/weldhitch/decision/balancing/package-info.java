/**
 * The decisions of a balancer node: admission, endpoint choice, retries and hedging. It has no I/O, clock or
 * threads of its own; the same events and seed give the same actions.
 */
package weldhitch.decision.balancing;

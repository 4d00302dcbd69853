/**
 * Actions that the balancer returns to its node: immutable records, in the order in which the node executes them.
 */
package weldhitch.decision.action;

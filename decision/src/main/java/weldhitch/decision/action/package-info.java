/**
 * What the balancer asks its node to do: immutable records, returned in the order in which to carry them out.
 */
package weldhitch.decision.action;

/**
 * Routes and their policies, and the lookup of the route of a request. Immutable.
 */
package weldhitch.decision.routing;

/**
 * Values about endpoints that events, routes and snapshots share. Immutable.
 */
package weldhitch.decision.endpoint;

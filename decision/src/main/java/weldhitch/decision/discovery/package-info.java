/**
 * Decides when to poll the discovery service, how to react to a failed poll, and how stale the endpoint list is.
 */
package weldhitch.decision.discovery;

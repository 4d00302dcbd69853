/** Decisions about groups of instances: selection, minimum capacity, rolling updates and restart backoff. */
package weldhitch.rollout;

/** Decisions over many instances: selection, minimum capacity, rolling updates and restart backoff. */
package weldhitch.rollout;

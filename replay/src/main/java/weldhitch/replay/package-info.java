/**
 * Replays captures. {@code Replayer} feeds the events to this build's balancer and compares each decision with
 * the capture; its listeners count and explain. {@code policy} checks a run against the invariants that a node
 * must keep.
 */
package weldhitch.replay;

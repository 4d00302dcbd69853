/**
 * Replays captures. {@code Replayer} passes the captured events to this build's balancer and compares each decision
 * with the capture; its listeners count results and explain decisions. The subpackage {@code policy} checks runs
 * against the invariants of a node.
 */
package weldhitch.replay;

/**
 * Records the events and actions of a node's balancer on disk: a dedicated thread writes them while the node
 * runs, and tools read them back. {@code format} defines the file format, {@code policy} decides when a snapshot
 * is due, which events are dropped and which segments are deleted, and {@code live} records a running node.
 */
package weldhitch.capture;

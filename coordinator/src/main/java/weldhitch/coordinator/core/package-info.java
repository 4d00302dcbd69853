/**
 * The decisions of a coordinator: leader election, member leases and the two-phase commit of route versions, on top of
 * the consensus of {@code weldhitch.consensus}. Free of I/O, clocks and threads. See docs/design/activation.md.
 */
package weldhitch.coordinator.core;

/**
 * How all members of a fleet switch to a route version at the same time, by a two-phase commit: the member's
 * part, and the messages between members and coordinators. Free of I/O, clocks and threads; times are
 * nanoseconds of the process's own monotonic clock, which callers pass in. See docs/design/activation.md.
 */
package weldhitch.fleet.activation;

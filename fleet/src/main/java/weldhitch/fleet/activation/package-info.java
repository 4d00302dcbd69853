/**
 * Activates a route version on all members of a fleet at the same time, by a two-phase commit: the member's side, and
 * the messages between members and coordinators. Free of I/O, clocks and threads; times are nanoseconds of the
 * process's own monotonic clock, which callers pass in. See docs/design/activation.md.
 */
package weldhitch.fleet.activation;

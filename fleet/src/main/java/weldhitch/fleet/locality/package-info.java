/**
 * Which zones a request may go to, and how much may spill over from near zones to far ones: rules, a node's
 * state for each rule ({@link weldhitch.fleet.locality.Locality}), and the reports and quotas that the
 * leading coordinator keeps ({@link weldhitch.fleet.locality.ZoneBoard}). Free of I/O, clocks and threads;
 * times are nanoseconds. See docs/design/locality.md.
 */
package weldhitch.fleet.locality;

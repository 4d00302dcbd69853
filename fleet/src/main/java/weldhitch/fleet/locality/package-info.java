/**
 * Determines which zones a request may go to, and how much may spill over from near zones to far ones: rules, a node's
 * state for each rule ({@link weldhitch.fleet.locality.ZoneSelector}), and the load reports and quota grants of the
 * leading coordinator ({@link weldhitch.fleet.locality.ZoneLoadAggregator}). Free of I/O, clocks and threads; all times
 * and durations are nanoseconds of the caller's monotonic clock. See docs/design/locality.md.
 */
package weldhitch.fleet.locality;

/**
 * Events that the balancer handles: immutable records, one for each kind of event. Times are nanoseconds of one
 * monotonic clock.
 */
package weldhitch.decision.event;

/**
 * The decisions of a recording, free of I/O, clock and threads: what to record, when to flush and rotate, what
 * to delete.
 */
package weldhitch.capture.policy;

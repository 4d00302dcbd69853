/**
 * Decides what a capture records, when it flushes and rotates, and which segments it deletes, without I/O, clock
 * or threads.
 */
package weldhitch.capture.policy;

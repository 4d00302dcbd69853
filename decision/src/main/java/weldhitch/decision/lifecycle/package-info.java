/**
 * The lifecycle of a process: start, reload and graceful shutdown, decided without clock, signals or threads.
 */
package weldhitch.decision.lifecycle;

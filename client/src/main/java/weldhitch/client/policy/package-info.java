/**
 * All decisions of the client as a state machine: events in, actions out, with a seeded random generator; free
 * of I/O, clocks and threads.
 */
package weldhitch.client.policy;

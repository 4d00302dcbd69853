/**
 * All decisions of the client, as a state machine with events as input, actions as output and a seeded random
 * generator; without I/O, clocks or threads.
 */
package weldhitch.client.policy;

/** All that a considerate client decides: events in, actions out, seeded; free of I/O, clock and threads. */
package weldhitch.client.policy;

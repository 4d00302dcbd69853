/**
 * Poll slots that the coordinators assign, so that the rate of what all nodes do at once stays bounded. Free
 * of I/O, clocks and threads.
 */
package weldhitch.fleet.turns;

/**
 * Assigns poll slots to nodes, which bounds the rate of polls that all nodes send at once. The coordinators assign the
 * slots. Free of I/O, clocks and threads.
 */
package weldhitch.fleet.turns;

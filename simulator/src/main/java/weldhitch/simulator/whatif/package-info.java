/**
 * Estimates what other routes or another build would have made of a capture: the answers of servers come from a
 * model fitted to the capture, arrivals and endpoint lists are the captured ones. Free of I/O, clocks and
 * threads.
 */
package weldhitch.simulator.whatif;

/**
 * Estimates what other routes or another build would have changed in a capture: the answers of servers come from a
 * model fitted to the capture; arrivals and endpoint lists are the captured ones. No I/O, clocks or threads.
 */
package weldhitch.simulator.whatif;

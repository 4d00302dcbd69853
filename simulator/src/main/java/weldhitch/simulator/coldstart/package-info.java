/**
 * Simulation of a cold start: many nodes poll one discovery service that all of them share, in virtual time.
 */
package weldhitch.simulator.coldstart;

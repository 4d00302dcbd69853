/** Simulates a cold start: many nodes poll one shared discovery service, in virtual time. */
package weldhitch.simulator.coldstart;

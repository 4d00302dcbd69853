/**
 * Simulates a cluster: a discrete-event simulation of servers, network, clients and coordinators around the
 * balancers of real nodes. Single-threaded and deterministic in its seed.
 */
package weldhitch.simulator.cluster;

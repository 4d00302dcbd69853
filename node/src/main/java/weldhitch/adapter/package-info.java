/** The simulator adapter, which runs the balancer on the simulator's line protocol. */
package weldhitch.adapter;

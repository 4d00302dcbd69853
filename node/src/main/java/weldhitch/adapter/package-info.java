/** The adapter: runs the balancer on the simulator's line protocol. */
package weldhitch.adapter;

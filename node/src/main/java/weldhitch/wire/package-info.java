/** The adapter: the same decisions on the line protocol of the simulator. */
package weldhitch.wire;

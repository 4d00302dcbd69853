/** The entry point of the packaged archive, which starts either the node or the simulator adapter. */
package weldhitch;

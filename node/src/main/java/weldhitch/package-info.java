/** The entry point of the packaged archive, which starts the node or the adapter. */
package weldhitch;

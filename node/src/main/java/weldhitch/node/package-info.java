/** The node: sockets, timers, discovery, start and shutdown. Makes no balancing decisions of its own. */
package weldhitch.node;

/** The node: sockets, timers, discovery, start and shutdown. It makes no balancing decisions itself. */
package weldhitch.node;

/** The node itself: sockets, timers, discovery, start and end. It decides nothing. */
package weldhitch.node;

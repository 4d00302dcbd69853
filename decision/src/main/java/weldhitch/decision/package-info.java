/** Every decision of a node, free of I/O, clock and threads: the same events and seed give the same actions. */
package weldhitch.decision;

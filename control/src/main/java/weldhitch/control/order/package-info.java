/** Who wins where orders conflict: decisions alone, free of I/O, clock and threads. See docs/design/control.md. */
package weldhitch.control.order;

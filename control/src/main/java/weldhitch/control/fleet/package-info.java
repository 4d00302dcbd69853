/** Decisions over many instances: which are meant, what may be taken away at once, when to start one again. */
package weldhitch.control.fleet;

/** Durable consensus: an acceptor that persists its state before it replies. */
package weldhitch.consensus.durable;

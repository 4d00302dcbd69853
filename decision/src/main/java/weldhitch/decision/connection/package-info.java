/**
 * Decisions on single connections: whether an attempt may still start, whether an idle upstream connection may be
 * reused, and when input on a downstream connection arrived.
 */
package weldhitch.decision.connection;

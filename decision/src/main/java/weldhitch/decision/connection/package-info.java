/**
 * Decisions on single upstream connections: whether an attempt may still start, and whether an idle connection
 * may be reused.
 */
package weldhitch.decision.connection;

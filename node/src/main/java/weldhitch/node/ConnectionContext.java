package weldhitch.node;

import weldhitch.decision.connection.PollHistory;

/**
 * The objects that all connections of a node share. Confined to the event loop.
 *
 * @param polls the times at which the event loop polled its sockets
 * @param events counts rejections, retries and closes
 */
record ConnectionContext(Clock clock, ResourceLimits limits, PollHistory polls, NodeEventLog events) {}

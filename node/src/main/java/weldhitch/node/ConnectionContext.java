package weldhitch.node;

import weldhitch.decision.connection.PollHistory;

/**
 * What all connections of a node share. Confined to the event loop.
 *
 * @param polls when the event loop polled its sockets
 * @param events where rejections, retries and closes are accounted for
 */
record ConnectionContext(Clock clock, ResourceLimits limits, PollHistory polls, NodeEventLog events) {}

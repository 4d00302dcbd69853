package weldhitch.simulator.cluster;

import weldhitch.fleet.locality.LocalityRules;

/**
 * How the nodes of a simulated cluster route requests by zone. Immutable.
 *
 * @param coordinated whether a leading coordinator merges reports and grants quotas; otherwise each node uses only
 *     its local view
 * @param messageLoss fraction of reports, and of responses to them, that are lost; 0 to 1
 */
public record LocalityConfig(LocalityRules rules, boolean coordinated, double messageLoss) {}

/**
 * The simulator. {@code scenario} reads scenario files, {@code cluster} runs them in virtual time with the
 * balancer's real decision code, {@code report} writes statistics, plots and comparisons. Nothing here is on a
 * node's class path.
 */
package weldhitch.simulator;

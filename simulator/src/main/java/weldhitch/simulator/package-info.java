/**
 * The simulator. {@code scenario} reads scenario files, {@code cluster} runs them in virtual time with the
 * balancer's real decision code, {@code coldstart} simulates the start of a fleet, {@code report} writes
 * statistics, plots and comparisons, and {@code whatif} estimates the effect of other routes on a capture. Nothing
 * of this is on a node's class path.
 */
package weldhitch.simulator;

/**
 * Simulates a cluster with the balancer's real decision code. {@code scenario} reads scenario files, {@code cluster}
 * runs them in virtual time, {@code coldstart} simulates the start of a fleet, {@code report} writes statistics, plots
 * and comparisons, and {@code whatif} estimates the effect of other routes on a capture. None of these packages is on a
 * node's class path.
 */
package weldhitch.simulator;

/**
 * Reports of simulation runs: statistics and plots, comparisons of two sets of runs, and captures of a simulated
 * node.
 */
package weldhitch.simulator.report;

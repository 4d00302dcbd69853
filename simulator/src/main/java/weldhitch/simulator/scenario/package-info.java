/**
 * Scenarios: the model of a scenario file, its reader and validator, and the probability distributions that it
 * names.
 */
package weldhitch.simulator.scenario;

/** Scenarios: the model of a scenario file, its reader and validator, and its probability distributions. */
package weldhitch.simulator.scenario;

/**
 * End-to-end tests with several processes: starts them, injects faults by a schedule drawn from a seed,
 * generates load and checks the invariants from outside, all on the clock of one event log.
 */
package weldhitch.testkit.fleet;

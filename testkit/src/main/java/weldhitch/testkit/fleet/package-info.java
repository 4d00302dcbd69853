/**
 * Support for end-to-end tests with several processes: starts them, injects faults by a schedule drawn from a seed,
 * generates load and checks the invariants from outside, with all times on the clock of one event log.
 */
package weldhitch.testkit.fleet;

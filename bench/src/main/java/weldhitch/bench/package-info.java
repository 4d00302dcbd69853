/** JMH benchmarks, run by hand; docs/route-configuration.md has the command and the results. */
package weldhitch.bench;

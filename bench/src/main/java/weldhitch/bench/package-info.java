/** JMH benchmarks that are run manually; docs/route-configuration.md has the command and the results. */
package weldhitch.bench;

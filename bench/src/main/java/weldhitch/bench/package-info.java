/** JMH benchmarks, run by hand; docs/operator-file.md has the command and the results. */
package weldhitch.bench;

/** Measurements run by hand; docs/operator-file.md has the command and the figures. */
package weldhitch.bench;

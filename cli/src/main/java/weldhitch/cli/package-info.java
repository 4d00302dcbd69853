/** The command line over nodes, and the demonstration that needs nothing but this jar. */
package weldhitch.cli;

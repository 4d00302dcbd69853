/**
 * The command line {@code weldhitch}. Each command is one picocli class that reads its options, calls the module that
 * does the work and prints the result. The command {@code demo} needs nothing but this jar.
 */
package weldhitch.cli;

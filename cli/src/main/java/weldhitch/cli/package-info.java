/**
 * The command line {@code weldhitch}: one picocli command a class, which reads its options, calls the
 * module that does the work and prints the result; and a demonstration that needs nothing but this jar.
 */
package weldhitch.cli;

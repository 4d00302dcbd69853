/** The operator file: read, checked against the platform and the rules, made into routes. */
package weldhitch.operator;

/**
 * The settings that a balancer starts with, and their parser for flat key-value pairs. Immutable.
 */
package weldhitch.decision.settings;

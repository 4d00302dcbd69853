/**
 * The settings that a balancer starts with, and their reading from flat key-value pairs. Immutable.
 */
package weldhitch.decision.settings;

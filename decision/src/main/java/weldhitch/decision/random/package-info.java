/**
 * Random numbers whose state can be saved and restored bit for bit.
 */
package weldhitch.decision.random;

/** The errors of the state that a fleet shares, each kind a type of its own. */
package weldhitch.fleet.error;

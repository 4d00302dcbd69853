/** Defines the errors of the state that a fleet shares, one type for each kind of error. */
package weldhitch.fleet.error;

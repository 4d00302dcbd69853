/**
 * A running fleet member: its calls to the coordinators on a thread of its own, and the route tables that
 * requests read.
 */
package weldhitch.fleet.member;

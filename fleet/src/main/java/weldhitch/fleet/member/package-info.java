/**
 * Runs a fleet member: exchanges heartbeats with the coordinators on its own thread, and publishes the route tables
 * that requests read.
 */
package weldhitch.fleet.member;

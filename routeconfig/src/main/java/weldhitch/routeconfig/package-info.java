/**
 * Reads the route configuration, a TOML file written by operators, checks it against the platform's settings and the
 * balancer's invariants, and compiles it into routes. Files are read once and completely; no code of this package runs
 * on the path of a request.
 */
package weldhitch.routeconfig;

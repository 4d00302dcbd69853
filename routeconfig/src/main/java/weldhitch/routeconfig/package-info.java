/**
 * The route configuration (a TOML file that operators write): reads it, checks it against the platform and
 * the product's invariants, and compiles it into routes. Files are read once and completely; nothing here
 * runs on the path of a request.
 */
package weldhitch.routeconfig;

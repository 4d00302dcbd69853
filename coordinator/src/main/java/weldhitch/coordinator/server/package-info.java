/**
 * The coordinator process: its configuration, its state log on disk, its HTTP/1.1 server, and the directory in which
 * operators submit files.
 */
package weldhitch.coordinator.server;

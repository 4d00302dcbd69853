/**
 * The coordinator as a process: its configuration, its state log on disk, its HTTP/1.1 server, and the
 * directory for submitted files.
 */
package weldhitch.coordinator.server;

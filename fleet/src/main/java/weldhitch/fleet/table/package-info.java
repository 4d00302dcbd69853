/** Provides tables that many requests read while one thread replaces them (read-copy-update). */
package weldhitch.fleet.table;

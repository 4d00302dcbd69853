/** A log on disk for state that must survive a crash. */
package weldhitch.statelog;

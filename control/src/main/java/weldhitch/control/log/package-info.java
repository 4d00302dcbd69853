/** What an agent must not forget, on disk. */
package weldhitch.control.log;

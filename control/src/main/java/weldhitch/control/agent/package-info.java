/** An agent's part: what it decides, kept on disk. */
package weldhitch.control.agent;

/**
 * Everything that a node's decisions were told and what they came to, kept on disk: written by a thread of its own while
 * the node works, and read again by tools. {@code format} is the form on disk, {@code policy} decides when a snapshot is
 * due, what is left out and what is deleted, and {@code live} does the writing.
 */
package weldhitch.capture;

package weldhitch.capture.format;

/** What an event loop hands the writer of its capture, in the order in which it happened. */
public interface Handed {
}

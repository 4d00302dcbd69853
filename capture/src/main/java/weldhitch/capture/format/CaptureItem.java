package weldhitch.capture.format;

/**
 * An item that the node's event loop enqueues for the capture's writer thread. Items are enqueued in the order in
 * which they happened.
 */
public interface CaptureItem {}

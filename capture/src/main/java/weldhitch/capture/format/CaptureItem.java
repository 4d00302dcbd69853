package weldhitch.capture.format;

/**
 * An item that the node's event loop enqueues for the capture's writer thread, in the order in which it
 * happened.
 */
public interface CaptureItem {}

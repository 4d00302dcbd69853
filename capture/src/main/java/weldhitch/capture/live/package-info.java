/**
 * Records a capture while a node runs: the event loop enqueues records without waiting, and a dedicated thread
 * writes them.
 */
package weldhitch.capture.live;

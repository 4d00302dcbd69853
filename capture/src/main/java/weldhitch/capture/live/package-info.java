/**
 * Recording a capture while a node runs: the event loop hands records over without waiting, and a thread of the
 * capture's own
 * writes them.
 */
package weldhitch.capture.live;

/**
 * Defines the file format of a capture: segments of compressed, checksummed blocks that contain SBE records and
 * CBOR documents, with their readers and writers. Single-threaded; each reader or writer belongs to the thread
 * that created it.
 */
package weldhitch.capture.format;

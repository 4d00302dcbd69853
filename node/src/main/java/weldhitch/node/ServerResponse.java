package weldhitch.node;

/**
 * A successful response of a server, or the start of a response that is streamed.
 *
 * @param contentType the content type, or null if the server states none
 * @param length the stated length in bytes, or -1
 * @param body the buffered part of the body; owned by the connection, which releases it
 */
record ServerResponse(String contentType, long length, BufferedBody body) {}

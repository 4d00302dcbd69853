package weldhitch.node;

/**
 * A successful response of a server, or the start of one that is streamed.
 *
 * @param contentType null if the server states none
 * @param length the stated length in bytes, or -1
 * @param body what is buffered of it; owned by the connection, which releases it
 */
record ServerResponse(String contentType, long length, BufferedBody body) {}

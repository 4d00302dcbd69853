package weldhitch.client;

/**
 * A successful response.
 *
 * @param body as the server sent it; not copied
 * @param attempts attempts sent, 1 or more
 */
public record Response(byte[] body, int attempts) {}

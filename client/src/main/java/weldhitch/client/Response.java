package weldhitch.client;

/**
 * A successful response.
 *
 * @param body the body as the server sent it; not copied
 * @param attempts the number of attempts sent, 1 or more
 */
public record Response(byte[] body, int attempts) {}

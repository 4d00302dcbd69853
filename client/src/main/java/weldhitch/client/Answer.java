package weldhitch.client;

/**
 * What a node answered.
 *
 * @param body as the server gave it
 * @param tries how often it was sent
 */
public record Answer(byte[] body, int tries) {
}

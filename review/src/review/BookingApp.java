package review;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import weldhitch.client.CallException;
import weldhitch.client.Request;
import weldhitch.client.Response;
import weldhitch.client.WeldhitchClient;
import weldhitch.client.policy.ClientPolicy;

/**
 * An app that calls a node by the project's client library, as the library's page shows: 30 bookings with
 * idempotency keys, then the one that the case is about. Arguments: the node's address, the key, the deduplication window in milliseconds.
 */
final class BookingApp {
    private BookingApp() {}

    public static void main(String[] arguments) throws Exception {
        ClientPolicy defaults = ClientPolicy.DEFAULTS;
        ClientPolicy policy = new ClientPolicy(
                defaults.maxAttempts(),
                defaults.initialBackoff(),
                defaults.maxBackoff(),
                defaults.retryRatio(),
                defaults.minRetriesPerSecond(),
                defaults.throttleMultiplier(),
                defaults.ejectionThreshold(),
                defaults.minReconnectWindow(),
                defaults.maxReconnectWindow(),
                defaults.subsetSize(),
                Long.parseLong(arguments[2]) * ClientPolicy.MS);
        try (WeldhitchClient client =
                WeldhitchClient.builder().nodes(arguments[0]).policy(policy).build()) {
            for (int i = 0; i < 30; i++) {
                client.send(booking(String.format("%032x", i)));
            }
            System.out.println("30 earlier bookings served");
            try {
                Response response = client.send(booking(arguments[1]));
                System.out.println("booking served after " + response.attempts() + " attempts");
            } catch (CallException e) {
                System.out.println("booking ended after " + e.attempts() + " attempts: " + e.getMessage());
            }
        }
    }

    private static Request booking(String key) {
        return Request.withIdempotencyKey("book-campaign", key, "cow".getBytes(StandardCharsets.UTF_8))
                .withTimeout(Duration.ofSeconds(3));
    }
}

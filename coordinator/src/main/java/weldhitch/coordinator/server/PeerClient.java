package weldhitch.coordinator.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import weldhitch.coordinator.core.PeerMessage;

/**
 * Sends messages to other coordinators over HTTP. It neither waits for responses nor retries: a sender that depends on
 * a lost message sends it again. Messages beyond the maximum number of in-flight requests to a peer are dropped.
 *
 * <p>Called on the decision thread of {@link CoordinatorLoop}.
 */
final class PeerClient {
    private static final int MAX_IN_FLIGHT = 64;

    private final String cluster;
    private final String name;
    private final Map<String, URI> addresses = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();
    private final HttpClient client;
    private final Duration requestTimeout;

    PeerClient(CoordinatorSettings settings, Executor executor) {
        cluster = settings.cluster();
        name = settings.name();
        requestTimeout = Duration.ofNanos(settings.timing().leaderLease() / 2);
        settings.coordinators().forEach((peer, address) -> {
            addresses.put(peer, uri(address));
            inFlight.put(peer, new AtomicInteger());
        });
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(requestTimeout)
                .executor(executor)
                .build();
    }

    private static URI uri(InetSocketAddress address) {
        return URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + "/v1/peer");
    }

    void send(String peer, PeerMessage message) {
        AtomicInteger inFlightToPeer = inFlight.get(peer);
        if (inFlightToPeer == null || inFlightToPeer.get() >= MAX_IN_FLIGHT) {
            return;
        }
        byte[] body;
        try {
            body = CoordinatorJson.JSON.writeValueAsBytes(new CoordinatorJson.PeerEnvelope(cluster, name, message));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
        HttpRequest request = HttpRequest.newBuilder(addresses.get(peer))
                .timeout(requestTimeout)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        CompletableFuture<?> response = client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
        // Counted only now: a call that throws has no completion that would count it back.
        inFlightToPeer.incrementAndGet();
        response.whenComplete((ignored, failure) -> inFlightToPeer.decrementAndGet());
    }
}

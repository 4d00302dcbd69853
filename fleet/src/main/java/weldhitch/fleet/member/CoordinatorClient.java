package weldhitch.fleet.member;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.activation.MemberRequest;
import weldhitch.fleet.activation.MemberResponse;
import weldhitch.fleet.locality.NodeLoadReport;

/**
 * HTTP/1.1 client of the coordinators, owned by {@link FleetMember}. Its calls block, so it must not be used on an
 * event loop. Not thread-safe: only the member's thread uses it, and after that thread has ended, the thread that
 * closes the member.
 */
final class CoordinatorClient {
    private static final int MAX_RESPONSE_BYTES = 512 << 10;
    private static final int MAX_LOGGED_BODY_BYTES = 300;
    private static final int HTTP_OK = 200;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration BUNDLE_TIMEOUT = Duration.ofMillis(2000);
    /** Time allowed for a heartbeat response in addition to the delay that the request permits the coordinator. */
    private static final long HEARTBEAT_TIMEOUT_MILLIS = 800;

    static final ObjectMapper JSON =
            MemberJson.register(new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES));

    /** A response whose body has been read completely. */
    private record Response(int status, byte[] body) {
        String bodyStart() {
            return new String(body, 0, Math.min(body.length, MAX_LOGGED_BODY_BYTES), StandardCharsets.UTF_8);
        }
    }

    private final HttpClient httpClient = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();
    private final String cluster;
    private final List<InetSocketAddress> addresses;
    private int currentIndex;

    /** Creates a client that first calls the coordinator at index {@code firstIndex} modulo their number. */
    CoordinatorClient(String cluster, List<InetSocketAddress> addresses, int firstIndex) {
        this.cluster = cluster;
        this.addresses = addresses;
        currentIndex = firstIndex % addresses.size();
    }

    /** Directs further calls to the next coordinator. */
    void switchToNext() {
        currentIndex = (currentIndex + 1) % addresses.size();
    }

    /** Returns the address of the coordinator that is called at present, as host:port. */
    String currentAddress() {
        InetSocketAddress address = addresses.get(currentIndex);
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the number of coordinators. */
    int count() {
        return addresses.size();
    }

    /**
     * Sends a heartbeat together with the load report and the request for a poll slot.
     *
     * @param waitMillis time that the coordinator may wait for a change before it responds, in milliseconds
     * @param loadReport the node's zone loads, or null
     * @param ownPollDelayNanos as in {@link MemberRequest}
     * @throws IOException if no readable response arrived in time; the message describes what was received instead
     */
    MemberResponse sendHeartbeat(
            MemberHeartbeat heartbeat, long waitMillis, NodeLoadReport loadReport, long ownPollDelayNanos)
            throws IOException, InterruptedException {
        MemberRequest memberRequest = new MemberRequest(cluster, waitMillis, heartbeat, loadReport, ownPollDelayNanos);
        Response response = send(HttpRequest.newBuilder(resource("/v1/member"))
                .timeout(Duration.ofMillis(waitMillis + HEARTBEAT_TIMEOUT_MILLIS))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(memberRequest)))
                .build());
        if (response.status != HTTP_OK) {
            throw new IOException("coordinator " + currentAddress() + " responded with status=" + response.status
                    + " body=" + response.bodyStart());
        }
        MemberResponse memberResponse = JSON.readValue(response.body, MemberResponse.class);
        if (memberResponse.heartbeat() == null) {
            throw new IOException("coordinator " + currentAddress()
                    + " sent a response without a heartbeat; check that its version is compatible");
        }
        return memberResponse;
    }

    /**
     * Fetches the bundle of a version from the current coordinator.
     *
     * @throws IOException if no response arrived in time, or the coordinator does not have the version
     */
    byte[] fetchBundle(long versionNumber) throws IOException, InterruptedException {
        Response response = send(HttpRequest.newBuilder(resource("/v1/bundle/" + versionNumber))
                .timeout(BUNDLE_TIMEOUT)
                .GET()
                .build());
        if (response.status != HTTP_OK) {
            throw new IOException("coordinator " + currentAddress() + " has no bundle version=" + versionNumber);
        }
        return response.body;
    }

    private URI resource(String path) {
        return URI.create("http://" + currentAddress() + path);
    }

    private Response send(HttpRequest request) throws IOException, InterruptedException {
        HttpResponse<InputStream> response = httpClient.send(request, HttpResponse.BodyHandlers.ofInputStream());
        try (InputStream in = response.body()) {
            byte[] body = in.readNBytes(MAX_RESPONSE_BYTES + 1);
            if (body.length > MAX_RESPONSE_BYTES) {
                throw new IOException("response larger than " + MAX_RESPONSE_BYTES + " bytes");
            }
            return new Response(response.statusCode(), body);
        }
    }
}

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
import java.time.Duration;
import java.util.List;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.activation.MemberRequest;
import weldhitch.fleet.activation.MemberResponse;
import weldhitch.fleet.locality.NodeLoadReport;

/**
 * Client of the coordinators over HTTP/1.1; {@link FleetMember} owns one. Its calls block, so it must not be
 * used on an event loop. Not thread-safe: it belongs to the member's thread, and after that has ended to
 * whoever closes the member.
 */
final class CoordinatorClient {
    private static final int MAX_RESPONSE_BYTES = 512 << 10;
    static final ObjectMapper JSON =
            MemberJson.register(new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES));

    private final HttpClient httpClient = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();
    private final String cluster;
    private final List<InetSocketAddress> addresses;
    private int currentIndex;

    /** Creates a client that starts with the coordinator at position {@code first}, modulo their number. */
    CoordinatorClient(String cluster, List<InetSocketAddress> addresses, int firstIndex) {
        this.cluster = cluster;
        this.addresses = addresses;
        currentIndex = firstIndex % addresses.size();
    }

    /** Makes further calls go to the next coordinator. */
    void switchToNext() {
        currentIndex = (currentIndex + 1) % addresses.size();
    }

    /** The address of the coordinator that calls go to now, as host:port. */
    String currentAddress() {
        InetSocketAddress address = addresses.get(currentIndex);
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** The number of coordinators. */
    int count() {
        return addresses.size();
    }

    /**
     * Sends a heartbeat and what goes with it.
     *
     * @param waitMillis how long the coordinator may wait for a change before it responds
     * @param loadReport the node's zone loads, or null
     * @param ownPollDelayNanos as in {@link MemberRequest}
     * @throws IOException if no readable response came in time; the message says what was received instead
     */
    MemberResponse sendHeartbeat(
            MemberHeartbeat heartbeat, long waitMillis, NodeLoadReport loadReport, long ownPollDelayNanos)
            throws IOException, InterruptedException {
        HttpResponse<InputStream> httpResponse = httpClient.send(
                HttpRequest.newBuilder(URI.create("http://" + currentAddress() + "/v1/member"))
                        .timeout(Duration.ofMillis(waitMillis + 800))
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(
                                new MemberRequest(cluster, waitMillis, heartbeat, loadReport, ownPollDelayNanos))))
                        .build(),
                HttpResponse.BodyHandlers.ofInputStream());
        byte[] body = readBody(httpResponse);
        if (httpResponse.statusCode() != 200) {
            throw new IOException(currentAddress() + " answered " + httpResponse.statusCode() + " "
                    + new String(body, 0, Math.min(body.length, 300), java.nio.charset.StandardCharsets.UTF_8));
        }
        MemberResponse memberResponse = JSON.readValue(body, MemberResponse.class);
        if (memberResponse.heartbeat() == null) {
            throw new IOException(currentAddress() + " answered without an answer: is it of this version?");
        }
        return memberResponse;
    }

    /**
     * The bundle of a version, from the current coordinator.
     *
     * @throws IOException if no response came in time, or the coordinator does not have the version
     */
    byte[] fetchBundle(long versionNumber) throws IOException, InterruptedException {
        HttpResponse<InputStream> response = httpClient.send(
                HttpRequest.newBuilder(URI.create("http://" + currentAddress() + "/v1/bundle/" + versionNumber))
                        .timeout(Duration.ofMillis(2000))
                        .GET()
                        .build(),
                HttpResponse.BodyHandlers.ofInputStream());
        byte[] body = readBody(response);
        if (response.statusCode() != 200) {
            throw new IOException(currentAddress() + " has no version " + versionNumber);
        }
        return body;
    }

    private static byte[] readBody(HttpResponse<InputStream> response) throws IOException {
        try (InputStream in = response.body()) {
            byte[] body = in.readNBytes(MAX_RESPONSE_BYTES + 1);
            if (body.length > MAX_RESPONSE_BYTES) {
                throw new IOException("an answer of more than " + MAX_RESPONSE_BYTES + " bytes");
            }
            return body;
        }
    }
}

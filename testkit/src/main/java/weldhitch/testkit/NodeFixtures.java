package weldhitch.testkit;

import java.nio.charset.StandardCharsets;

/**
 * Builds node configurations, endpoint list entries and HTTP requests as text, for the tests of every module.
 * Stateless and thread-safe.
 */
public final class NodeFixtures {
    private NodeFixtures() {}

    /** Returns an endpoint list entry in JSON with health {@code ready}; {@code address} is host and port. */
    public static String endpointEntry(String name, String address) {
        return endpointEntry(name, address, "ready");
    }

    /** Returns an endpoint list entry in JSON; {@code address} is host and port. */
    public static String endpointEntry(String name, String address, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + address + "\",\"site\":\"a\",\"class\":\"k\",\"block\":1,"
                + "\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /**
     * Returns the balancer settings in JSON.
     *
     * @param extraSettings text appended to the settings object without changes; starts with a comma, or is empty
     */
    public static String settingsJson(String extraSettings) {
        return "{\"areas\":[\"a\"],\"az\":\"a\",\"layer\":0,\"me\":0,\"siblings\":1,\"quantumS\":0.002,\"classes\":["
                + "{\"name\":\"read\",\"effect\":\"read_like\",\"aimS\":4.0,\"deadlineS\":8.0},"
                + "{\"name\":\"book\",\"effect\":\"non_idempotent\",\"aimS\":4.0,\"deadlineS\":8.0},"
                + "{\"name\":\"feed\",\"effect\":\"read_like\",\"aimS\":4.0,\"deadlineS\":8.0,\"streamed\":true},"
                + "{\"name\":\"whole\",\"effect\":\"non_idempotent\",\"deadlineS\":8.0}],"
                + "\"limits\":{\"maxAttempts\":4,\"secondCopies\":false,\"cancel\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterS\":1.5,\"dialTimeoutS\":1.0,\"keepaliveS\":5.0},"
                + "\"rules\":{\"drainGraceS\":2.0,\"askEveryS\":10.0,\"startCapacity\":0.3,\"coldS\":5,"
                + "\"fallMultiple\":3,\"overloadForS\":3}" + extraSettings + "}";
    }

    /**
     * Returns a node's configuration file in JSON.
     *
     * @param discovery host and port of the discovery service
     * @param cachedEndpoints entries of the cached endpoint list, separated by commas
     * @param maxSockets the node's socket limit
     * @param extraSettings text appended to the balancer settings without changes; starts with a comma, or is empty
     */
    public static byte[] configJson(String discovery, String cachedEndpoints, int maxSockets, String extraSettings) {
        return ("{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery + "\",\"seed\":\"0f\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + maxSockets
                        + "},\"known\":{\"seq\":0,"
                        + "\"whole\":true,\"hosts\":[" + cachedEndpoints + "]},\"settings\":"
                        + settingsJson(extraSettings) + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a GET request of class {@code read} with the given trace id. */
    public static String getRequest(String traceId) {
        return "GET /read/x?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + traceId + "\r\nX-Qos: read\r\n"
                + "X-Expires-In: 8.000\r\n\r\n";
    }

    /** Returns a GET request of class {@code feed}, whose responses the node streams. */
    public static String streamedGetRequest(String traceId) {
        return getRequest(traceId).replace("/read/", "/feed/").replace("X-Qos: read", "X-Qos: feed");
    }

    /** Returns a non-idempotent POST request of class {@code book} with the given trace id. */
    public static String postRequest(String traceId, String body) {
        return "POST /book HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + traceId + "\r\nX-Qos: book\r\n"
                + "X-Expires-In: 8.000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}

package weldhitch.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import weldhitch.testkit.NodeFixtures;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;

/**
 * Runs a node in the test's own process, between scripted servers on ephemeral loopback ports. Used by one test
 * thread; {@link #close} stops the node and closes everything that the harness opened.
 */
final class NodeHarness implements Closeable {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Node node;
    private final List<Closeable> open = new ArrayList<>();

    private NodeHarness(Node node) {
        this.node = node;
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Creates a discovery service that sends the given list and reports no changes to later polls. */
    static ScriptedServer discovery(String hosts) throws IOException {
        return new ScriptedServer(connection -> {
            for (RawHttpMessage m = connection.readMessage(); m != null; m = connection.readMessage()) {
                boolean known = m.firstLine().contains("after=1&");
                connection.write(ok("{\"seq\":1,\"whole\":" + !known + ",\"hosts\":[" + (known ? "" : hosts) + "]}"));
            }
        });
    }

    /** Starts a node whose cached endpoint list contains the servers as s0, s1 and so on. */
    static NodeHarness start(ScriptedServer... servers) throws Exception {
        return start(1024, servers);
    }

    static NodeHarness start(int maxSockets, ScriptedServer... servers) throws Exception {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < servers.length; i++) {
            hosts.append(i == 0 ? "" : ",").append(host("s" + i, servers[i].address()));
        }
        ScriptedServer discovery = discovery(hosts.toString());
        NodeHarness harness = start(config(discovery.address(), hosts.toString(), maxSockets, ""));
        harness.open.add(discovery);
        harness.open.addAll(List.of(servers));
        return harness;
    }

    static NodeHarness start(byte[] config) throws Exception {
        return new NodeHarness(Node.start(NodeConfig.parse(config, Map.of())));
    }

    static NodeHarness start(byte[] config, java.nio.file.Path operator) throws Exception {
        return new NodeHarness(Node.start(NodeConfig.parse(config, Map.of()), operator));
    }

    TestConnection client() throws IOException {
        TestConnection connection =
                new TestConnection(new Socket(LOOPBACK, node.address().getPort()));
        open.add(connection);
        return connection;
    }

    static String host(String name, String address) {
        return NodeFixtures.endpointEntry(name, address);
    }

    static String host(String name, String address, String health) {
        return NodeFixtures.endpointEntry(name, address, health);
    }

    static byte[] config(String discovery, String known, int maxSockets, String moreSettings) {
        return NodeFixtures.configJson(discovery, known, maxSockets, moreSettings);
    }

    static String get(String id) {
        return NodeFixtures.getRequest(id);
    }

    /** Returns a GET request of a class whose responses the node streams. */
    static String feed(String id) {
        return NodeFixtures.streamedGetRequest(id);
    }

    static String post(String id, String body) {
        return NodeFixtures.postRequest(id, body);
    }

    /** Sends one request on a new connection and returns the response. */
    RawHttpMessage send(String request) throws IOException {
        TestConnection connection = client();
        connection.write(request);
        return connection.readMessage();
    }

    @Override
    public void close() throws IOException {
        for (Closeable each : open) {
            each.close();
        }
        node.stop();
    }
}

package weldhitch.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import weldhitch.testkit.Message;
import weldhitch.testkit.Peer;
import weldhitch.testkit.Wire;

/** A node in this process, between peers of a test's own on ephemeral loopback ports. */
final class Harness implements Closeable {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Node node;
    private final List<Closeable> open = new ArrayList<>();

    private Harness(Node node) {
        this.node = node;
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Discovery that answers the list given and then says that nothing is new. */
    static Peer discovery(String hosts) throws IOException {
        return new Peer(wire -> {
            for (Message m = wire.message(); m != null; m = wire.message()) {
                boolean known = m.firstLine().contains("after=1&");
                wire.write(ok("{\"seq\":1,\"whole\":" + !known + ",\"hosts\":[" + (known ? "" : hosts) + "]}"));
            }
        });
    }

    static String host(String name, String address) {
        return host(name, address, "ready");
    }

    static String host(String name, String address, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + address + "\",\"site\":\"a\",\"class\":\"k\",\"block\":1,"
            + "\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
    }

    static String settings(String more) {
        return "{\"areas\":[\"a\"],\"az\":\"a\",\"layer\":0,\"me\":0,\"siblings\":1,\"quantumS\":0.002,\"classes\":["
            + "{\"name\":\"read\",\"effect\":\"read_like\",\"aimS\":4.0,\"deadlineS\":8.0},"
            + "{\"name\":\"book\",\"effect\":\"non_idempotent\",\"aimS\":4.0,\"deadlineS\":8.0},"
            + "{\"name\":\"feed\",\"effect\":\"read_like\",\"aimS\":4.0,\"deadlineS\":8.0,\"streamed\":true},"
            + "{\"name\":\"whole\",\"effect\":\"non_idempotent\",\"deadlineS\":8.0}],"
            + "\"limits\":{\"maxAttempts\":4,\"secondCopies\":false,\"cancel\":true,\"retryAfter\":true,"
            + "\"maxRetryAfterS\":1.5,\"dialTimeoutS\":1.0,\"keepaliveS\":5.0},"
            + "\"rules\":{\"drainGraceS\":2.0,\"askEveryS\":10.0,\"startCapacity\":0.3,\"coldS\":5,"
            + "\"fallMultiple\":3,\"overloadForS\":3}" + more + "}";
    }

    static byte[] config(String discovery, String known, int sockets, String moreSettings) {
        return ("{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery + "\",\"seed\":\"0f\","
            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},\"known\":{\"seq\":0,"
            + "\"whole\":true,\"hosts\":[" + known + "]},\"settings\":" + settings(moreSettings) + "}")
            .getBytes(StandardCharsets.UTF_8);
    }

    /** A node whose list, known from the start, names the peers as s0, s1 and so on. */
    static Harness start(Peer... servers) throws Exception {
        return start(1024, servers);
    }

    static Harness start(int sockets, Peer... servers) throws Exception {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < servers.length; i++) {
            hosts.append(i == 0 ? "" : ",").append(host("s" + i, servers[i].address()));
        }
        Peer discovery = discovery(hosts.toString());
        Harness harness = start(config(discovery.address(), hosts.toString(), sockets, ""));
        harness.open.add(discovery);
        harness.open.addAll(List.of(servers));
        return harness;
    }

    static Harness start(byte[] config) throws Exception {
        return new Harness(Node.start(NodeConfig.parse(config, Map.of())));
    }

    static Harness start(byte[] config, java.nio.file.Path operator) throws Exception {
        return new Harness(Node.start(NodeConfig.parse(config, Map.of()), operator));
    }

    Wire client() throws IOException {
        Wire wire = new Wire(new Socket(LOOPBACK, node.address().getPort()));
        open.add(wire);
        return wire;
    }

    static String get(String id) {
        return "GET /read/x?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: read\r\n"
            + "X-Expires-In: 8.000\r\n\r\n";
    }

    /** A request of the class whose answers are passed on as they come. */
    static String feed(String id) {
        return get(id).replace("/read/", "/feed/").replace("X-Qos: read", "X-Qos: feed");
    }

    static String post(String id, String body) {
        return "POST /book HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: book\r\n"
            + "X-Expires-In: 8.000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** One request on a connection of its own. */
    Message ask(String request) throws IOException {
        Wire wire = client();
        wire.write(request);
        return wire.message();
    }

    @Override
    public void close() throws IOException {
        for (Closeable each : open) {
            each.close();
        }
        node.stop();
    }
}

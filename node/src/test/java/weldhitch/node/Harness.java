package weldhitch.node;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A node in this process, between peers of a test's own on ephemeral loopback ports. */
final class Harness implements Closeable {
    static final int WAIT_S = 20;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Node node;
    private final List<Closeable> open = new ArrayList<>();

    private Harness(Node node) {
        this.node = node;
    }

    /** A connection as a test's peer sees it, with reads of HTTP messages and of their end. */
    static final class Wire implements Closeable {
        final Socket socket;
        private final InputStream in;

        Wire(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(WAIT_S * 1000);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        /** A head up to its empty line; null at the connection's end. */
        String head() throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            for (int b = in.read(); b >= 0; b = in.read()) {
                head.write(b);
                String text = head.toString(StandardCharsets.ISO_8859_1);
                if (text.endsWith("\r\n\r\n")) {
                    return text;
                }
            }
            if (head.size() > 0) {
                throw new EOFException("a broken head: " + head);
            }
            return null;
        }

        /** A message with a Content-Length, read whole. */
        Message message() throws IOException {
            String head = head();
            if (head == null) {
                return null;
            }
            String length = Message.field(head, "content-length");
            byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
            return new Message(head, body);
        }

        /** The rest of what comes, to the connection's end. */
        byte[] rest() throws IOException {
            return in.readAllBytes();
        }

        byte[] bytes(int count) throws IOException {
            return in.readNBytes(count);
        }

        /** Whether the peer ends the connection, by closing or by a reset. */
        boolean ends() throws IOException {
            try {
                return in.read() < 0;
            } catch (java.net.SocketException e) {
                return true;
            }
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    record Message(String head, byte[] body) {
        String firstLine() {
            return head.substring(0, head.indexOf('\r'));
        }

        int status() {
            return Integer.parseInt(head.substring(9, 12));
        }

        String field(String name) {
            return field(head, name);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        static String field(String head, String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(java.util.Locale.ROOT).startsWith(name + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }
    }

    /** What a test's server does with one connection. */
    interface Behaviour {
        void serve(Wire wire) throws Exception;
    }

    /** A listening peer that gives each connection to its behaviour, on a thread of its own. */
    static final class Peer implements Closeable {
        final ServerSocket listener;
        final BlockingQueue<Message> requests = new LinkedBlockingQueue<>();
        final BlockingQueue<Wire> connections = new LinkedBlockingQueue<>();
        private final List<Wire> wires = new CopyOnWriteArrayList<>();
        private final java.util.concurrent.atomic.AtomicInteger serving =
            new java.util.concurrent.atomic.AtomicInteger();

        Peer(Behaviour behaviour) throws IOException {
            listener = new ServerSocket(0, 50, LOOPBACK);
            daemon(() -> {
                while (true) {
                    Wire wire = new Wire(listener.accept());
                    wires.add(wire);
                    connections.add(wire);
                    serving.incrementAndGet();
                    daemon(() -> {
                        try {
                            behaviour.serve(wire);
                        } finally {
                            serving.decrementAndGet();
                        }
                    });
                }
            });
        }

        /** A server that notes each request and answers it by {@code answer}. */
        static Peer answering(java.util.function.Function<Message, String> answer) throws IOException {
            Peer[] self = new Peer[1];
            java.util.concurrent.CountDownLatch set = new java.util.concurrent.CountDownLatch(1);
            self[0] = new Peer(wire -> {
                set.await();
                for (Message m = wire.message(); m != null; m = wire.message()) {
                    self[0].requests.add(m);
                    wire.write(answer.apply(m));
                }
            });
            set.countDown();
            return self[0];
        }

        /** Connections whose behaviour has not ended. */
        int serving() {
            return serving.get();
        }

        Message next() throws InterruptedException {
            Message m = requests.poll(WAIT_S, TimeUnit.SECONDS);
            if (m == null) {
                throw new AssertionError("no request came");
            }
            return m;
        }

        Wire connection() throws InterruptedException {
            Wire w = connections.poll(WAIT_S, TimeUnit.SECONDS);
            if (w == null) {
                throw new AssertionError("no connection came");
            }
            return w;
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Wire wire : wires) {
                wire.close();
            }
        }
    }

    interface Work {
        void run() throws Exception;
    }

    static Thread daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // a peer of a test ends with its connection
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
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

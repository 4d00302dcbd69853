package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for the discovery agent of the protocol page: serves the whole list, and answers a watch when the list
 * changes or its wait is over.
 */
final class Platform implements AutoCloseable {
    private static final Pattern WATCH = Pattern.compile("after=(\\d{1,9})(?:&wait_ms=(\\d{1,5}))?");

    private record Host(String dial, String zone, String health, long bornMillis) {}

    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private int version = 1;
    private long lastCallAt;
    private int calls;

    Platform() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(executor);
        server.createContext("/v1/endpoints", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void put(String host, int port, String zone, String health) {
        hosts.put(host, new Host("127.0.0.1:" + port, zone, health, 0));
        version++;
        notifyAll();
    }

    synchronized void remove(String host) {
        hosts.remove(host);
        version++;
        notifyAll();
    }

    synchronized int calls() {
        return calls;
    }

    synchronized String list() {
        StringBuilder entries = new StringBuilder();
        hosts.forEach((name, host) -> entries.append(entries.length() == 0 ? "" : ",")
                .append("{\"host\":\"" + name + "\",\"dial\":\"" + host.dial + "\",\"site\":\"" + host.zone
                        + "\",\"class\":\"m\",\"block\":1,\"health\":\"" + host.health
                        + "\",\"share\":1.0,\"born_ms\":" + host.bornMillis + "}"));
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + entries + "]}";
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = answer(exchange.getRequestURI().getQuery()).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private synchronized String answer(String query) {
        calls++;
        Matcher matcher = WATCH.matcher(query == null ? "" : query);
        if (!matcher.find()) {
            return list();
        }
        int known = Integer.parseInt(matcher.group(1));
        long wait = matcher.group(2) == null ? 0 : Math.min(60_000, Long.parseLong(matcher.group(2)));
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait);
        try {
            for (long remaining = deadline - System.nanoTime();
                    version == known && remaining > 0;
                    remaining = deadline - System.nanoTime()) {
                TimeUnit.NANOSECONDS.timedWait(this, remaining);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return version == known ? "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[]}" : list();
    }

    /** Returns the text of a node's configuration, with the figures of a small deployment. */
    String nodeConfig(String name, int port, String classes, String zone, int me, int siblings) {
        return """
            {"name":"%s","listen":"127.0.0.1:%d","discovery":"%s","seed":"0f%02d","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "known":%s,
             "settings":{"areas":["kacyiru","remera"],"az":"%s","layer":0,"me":%d,"siblings":%d,"quantumS":0.002,
              "membershipMode":"push","classes":%s,
              "limits":{"maxAttempts":6,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterS":1.5,
                "dialTimeoutS":0.15,"keepaliveS":5.0},
              "rules":{"drainGraceS":2.0,"askEveryS":10.0,"startCapacity":0.31,"coldS":8.8,"fallMultiple":3,
                "overloadForS":3,"graceToAnswerS":0.008}}}
            """.formatted(name, port, address(), me, list(), zone, me, siblings, classes);
    }

    /** The classes of the users' site. */
    static final String CLASSES =
            """
            [{"name":"view-slots","effect":"read_like","group":"all","aimS":0.6,"deadlineS":1.5,"worth":3.0,"memorySpanS":5.0},
             {"name":"book-visit","effect":"non_idempotent","group":"all","aimS":0.6,"deadlineS":1.5,"worth":3.0,"memorySpanS":5.0},
             {"name":"book-farm","effect":"non_idempotent","group":"all","aimS":1.2,"deadlineS":3.0,"worth":3.0,"memorySpanS":5.0},
             {"name":"book-campaign","effect":"non_idempotent","group":"all","aimS":1.2,"deadlineS":3.0,"worth":9.0,"memorySpanS":5.0}]""";

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}

package weldhitch.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The discovery service of {@code demo}: serves the list of its servers over HTTP by poll and long poll.
 * Thread-safe: the list is guarded by the object's monitor.
 */
final class DemoDiscovery implements Closeable {
    private static final Pattern WATCH_QUERY = Pattern.compile("after=(\\d{1,9})&wait_ms=(\\d{1,5})");
    private static final int REMOVAL_DELAY_SECONDS = 2;

    private final HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    private final ExecutorService requestExecutor = Executors.newCachedThreadPool(DemoDiscovery::daemonThread);
    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(DemoDiscovery::daemonThread);
    private final Map<String, String> addressesByName = new LinkedHashMap<>();
    private int version;

    DemoDiscovery() throws IOException {
        server.setExecutor(requestExecutor);
        server.createContext("/v1/endpoints", this::handle);
        server.start();
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        return thread;
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void add(String name, String address) {
        addressesByName.put(name, address);
        version++;
        notifyAll();
    }

    /** Removes the server from the list after a delay, because a real discovery service notices a failure late. */
    void scheduleRemoval(String name) {
        scheduler.schedule(() -> remove(name), REMOVAL_DELAY_SECONDS, TimeUnit.SECONDS);
    }

    private synchronized void remove(String name) {
        addressesByName.remove(name);
        version++;
        notifyAll();
    }

    synchronized String completeList() {
        StringBuilder entries = new StringBuilder();
        addressesByName.forEach((name, address) -> entries.append(entries.length() == 0 ? "" : ",")
                .append("{\"host\":\"")
                .append(name)
                .append("\",\"dial\":\"")
                .append(address)
                .append("\",\"site\":\"here\",\"class\":\"demo\",\"block\":1,")
                .append("\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}"));
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + entries + "]}";
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = response(exchange.getRequestURI().getQuery()).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private synchronized String response(String query) {
        Matcher matcher = WATCH_QUERY.matcher(query == null ? "" : query);
        if (!matcher.find()) {
            return completeList();
        }
        int knownVersion = Integer.parseInt(matcher.group(1));
        long deadline =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.min(60_000, Long.parseLong(matcher.group(2))));
        try {
            for (long remaining = deadline - System.nanoTime();
                    version == knownVersion && remaining > 0;
                    remaining = deadline - System.nanoTime()) {
                TimeUnit.NANOSECONDS.timedWait(this, remaining);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return version == knownVersion ? "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[]}" : completeList();
    }

    @Override
    public void close() {
        server.stop(0);
        requestExecutor.shutdownNow();
        scheduler.shutdownNow();
    }
}

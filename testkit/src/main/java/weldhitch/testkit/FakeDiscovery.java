package weldhitch.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fake discovery service that serves an endpoint list by poll or long poll; the test changes the list.
 * Thread-safe: the list is guarded by the object's monitor.
 */
public final class FakeDiscovery implements Closeable {
    private static final Pattern WATCH_QUERY = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");

    /**
     * An entry of the endpoint list. Immutable.
     *
     * @param changedIn the list version in which the entry changed last
     */
    private record Endpoint(String address, String zone, String health, long startedAtMillis, int changedIn) {}

    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final ScriptedServer server;
    private int version = 1;
    private boolean paused;
    private long notifiedAt;
    private int notifiedVersion;
    /** List version of the latest response. */
    private int lastAnsweredVersion;

    /** Creates a service with an empty list and starts to listen. */
    public FakeDiscovery() throws IOException {
        server = new ScriptedServer(connection -> {
            for (RawHttpMessage request = connection.readMessage();
                    request != null;
                    request = connection.readMessage()) {
                connection.write(respond(request.firstLine()));
                recordNotified();
            }
        });
    }

    /** Returns the host and port on which the service listens. */
    public String address() {
        return server.address();
    }

    /** Adds the endpoint to the list, or changes it, in zone {@code a} and with health {@code ready}. */
    public FakeDiscovery add(String name, String address) {
        return add(name, address, "a");
    }

    /** Adds the endpoint to the list, or changes it, with health {@code ready}. */
    public FakeDiscovery add(String name, String address, String zone) {
        return update(name, address, zone, "ready", 0);
    }

    /** Adds an endpoint that started at this time, in milliseconds since the epoch, in zone {@code a}. */
    public FakeDiscovery addStarted(String name, String address, long startedAtMillis) {
        return update(name, address, "a", "ready", startedAtMillis);
    }

    /** Marks the listed endpoint as draining. */
    public FakeDiscovery drain(String name) {
        return changeHealth(name, "draining");
    }

    /** Marks the listed endpoint as removed. */
    public FakeDiscovery remove(String name) {
        return changeHealth(name, "gone");
    }

    private synchronized FakeDiscovery changeHealth(String name, String health) {
        Endpoint endpoint = endpoints.get(name);
        return update(name, endpoint.address, endpoint.zone, health, endpoint.startedAtMillis);
    }

    private synchronized FakeDiscovery update(
            String name, String address, String zone, String health, long startedAtMillis) {
        endpoints.put(name, new Endpoint(address, zone, health, startedAtMillis, ++version));
        notifyAll();
        return this;
    }

    /** Suspends all responses until {@link #resume} is called; polls stay pending meanwhile. */
    public synchronized FakeDiscovery pause() {
        paused = true;
        return this;
    }

    /** Resumes responses, including those to pending polls. */
    public synchronized FakeDiscovery resume() {
        paused = false;
        notifyAll();
        return this;
    }

    /**
     * Waits until a node has received the newest list version.
     *
     * @return the {@link System#nanoTime} at which the response with that version had been written
     */
    public synchronized long awaitNotified() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TestSupport.TIMEOUT_SECONDS);
        while (notifiedVersion < version) {
            long remaining = deadline - System.nanoTime();
            if (remaining <= 0) {
                throw new AssertionError("no node polled for list version " + version);
            }
            TimeUnit.NANOSECONDS.timedWait(this, remaining);
        }
        return notifiedAt;
    }

    private synchronized void recordNotified() {
        if (lastAnsweredVersion > notifiedVersion) {
            notifiedVersion = lastAnsweredVersion;
            notifiedAt = System.nanoTime();
            notifyAll();
        }
    }

    private synchronized String respond(String requestLine) throws InterruptedException {
        Matcher matcher = WATCH_QUERY.matcher(requestLine);
        boolean isWatch = matcher.find();
        int knownVersion = isWatch ? Integer.parseInt(matcher.group(1)) : 0;
        long deadline =
                System.nanoTime() + (isWatch ? TimeUnit.MILLISECONDS.toNanos(Long.parseLong(matcher.group(2))) : 0);
        while (paused || isWatch && version == knownVersion && System.nanoTime() < deadline) {
            long remaining = paused ? TimeUnit.SECONDS.toNanos(1) : deadline - System.nanoTime();
            if (remaining > 0) {
                TimeUnit.NANOSECONDS.timedWait(this, remaining);
            }
        }
        lastAnsweredVersion = version;
        boolean completeList = !isWatch || knownVersion == 0;
        StringBuilder entries = new StringBuilder();
        endpoints.forEach((name, endpoint) -> {
            if (completeList ? !endpoint.health.equals("gone") : endpoint.changedIn > knownVersion) {
                entries.append(entries.length() == 0 ? "" : ",")
                        .append("{\"host\":\"")
                        .append(name)
                        .append("\",\"dial\":\"")
                        .append(endpoint.address)
                        .append("\",\"site\":\"")
                        .append(endpoint.zone)
                        .append("\",\"class\":\"k\",\"block\":1,\"health\":\"")
                        .append(endpoint.health)
                        .append("\",\"share\":1.0,\"born_ms\":")
                        .append(endpoint.startedAtMillis)
                        .append('}');
            }
        });
        String body = "{\"seq\":" + version + ",\"whole\":" + completeList + ",\"hosts\":[" + entries + "]}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}

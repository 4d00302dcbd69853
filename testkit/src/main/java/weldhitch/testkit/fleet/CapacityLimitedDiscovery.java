package weldhitch.testkit.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/**
 * A fake discovery service of limited capacity, shared by many nodes. It processes calls one by one, including
 * calls of clients that have disconnected, and rejects calls while its queue is full. Each node polls its own
 * address, by which the service knows which endpoint addresses to send. Thread-safe: the list is guarded by the
 * object's monitor.
 */
public final class CapacityLimitedDiscovery implements Closeable {
    private static final Pattern WATCH_QUERY = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");

    /**
     * An entry of the endpoint list. Immutable.
     *
     * @param startedAtMillis start time of the server, Unix time in milliseconds
     * @param changedIn the list version in which the entry changed last
     */
    private record Endpoint(String health, long startedAtMillis, int changedIn) {}

    /**
     * A queued call.
     *
     * @param entryCount number of list entries in the response
     */
    private record QueuedCall(int entryCount, CompletableFuture<Void> completed) {}

    /**
     * A received call. Immutable.
     *
     * @param atNanos time of the call on the event log's clock, in nanoseconds
     * @param completeList whether the call requests the complete list rather than changes
     */
    public record RecordedCall(long atNanos, String node, boolean completeList) {}

    private final EventLog eventLog;
    private final long microsPerCall;
    private final long microsPerEntry;
    private final int maxQueueLength;
    private final BlockingQueue<QueuedCall> queue = new LinkedBlockingQueue<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, Map<String, String>> addressesByNode = new ConcurrentHashMap<>();
    private final List<RecordedCall> calls = new ArrayList<>();
    private final Map<String, Integer> notifiedVersions = new ConcurrentHashMap<>();
    private final Map<String, Long> drainNotificationTimes = new ConcurrentHashMap<>();
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean unavailable;
    private volatile UnaryOperator<String> zoneOfServer = server -> "a";
    private int version = 1;
    private long entriesWritten;

    /**
     * Starts to process calls.
     *
     * @param microsPerCall processing time of each call, in microseconds
     * @param microsPerEntry processing time of each list entry of a response, in microseconds
     * @param maxQueueLength maximum number of queued calls
     */
    public CapacityLimitedDiscovery(EventLog eventLog, long microsPerCall, long microsPerEntry, int maxQueueLength) {
        this.eventLog = eventLog;
        this.microsPerCall = microsPerCall;
        this.microsPerEntry = microsPerEntry;
        this.maxQueueLength = maxQueueLength;
        TestSupport.startDaemon(() -> {
            while (closed.getCount() > 0) {
                QueuedCall queuedCall = queue.take();
                // The simulated processing time; closing the service ends it early.
                closed.await(microsPerCall + microsPerEntry * queuedCall.entryCount, TimeUnit.MICROSECONDS);
                queuedCall.completed.complete(null);
            }
        });
    }

    /** Sets the function that returns the zone of a server by its name; the default is zone a for all servers. */
    public void setZones(UnaryOperator<String> zoneLookup) {
        zoneOfServer = zoneLookup;
    }

    /**
     * Listens on a further address, for one node.
     *
     * @param addresses the address at which this node reaches each server, by server name
     * @return host and port
     */
    public String addressFor(String node, Map<String, String> addresses) throws IOException {
        addressesByNode.put(node, Map.copyOf(addresses));
        ScriptedServer endpointServer = new ScriptedServer(connection -> serve(node, connection));
        servers.add(endpointServer);
        return endpointServer.address();
    }

    private void serve(String node, TestConnection connection) throws Exception {
        for (RawHttpMessage request = connection.readMessage(); request != null; request = connection.readMessage()) {
            if (unavailable) {
                connection.reset();
                return;
            }
            String response = respond(node, request.firstLine());
            if (unavailable) {
                connection.reset();
                return;
            }
            connection.write(response);
            recordNotifications(node);
        }
    }

    /** Resets pending and new calls until {@link #makeAvailable} is called. */
    public void makeUnavailable() {
        unavailable = true;
        eventLog.append("list service", "away");
        synchronized (this) {
            notifyAll();
        }
    }

    /** Serves calls again after {@link #makeUnavailable}. */
    public void makeAvailable() {
        unavailable = false;
        eventLog.append("list service", "back");
    }

    /**
     * Adds or changes an entry in the list of every node.
     *
     * @param startedAtMillis start time of the server, Unix time in milliseconds
     */
    public synchronized void put(String server, String health, long startedAtMillis) {
        endpoints.put(server, new Endpoint(health, startedAtMillis, ++version));
        eventLog.append("list service", server + " is " + health + " in version " + version);
        notifyAll();
    }

    private String respond(String node, String requestLine) throws Exception {
        Matcher matcher = WATCH_QUERY.matcher(requestLine);
        boolean isWatch = matcher.find();
        int knownVersion = isWatch ? Integer.parseInt(matcher.group(1)) : 0;
        long waitMillis = isWatch ? Long.parseLong(matcher.group(2)) : 0;
        int entryCount;
        synchronized (this) {
            calls.add(new RecordedCall(eventLog.elapsedNanos(), node, knownVersion == 0));
            entryCount = knownVersion == 0 ? endpoints.size() : 1;
        }
        if (queue.size() >= maxQueueLength) {
            return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
        }
        QueuedCall queuedCall = new QueuedCall(entryCount, new CompletableFuture<>());
        queue.add(queuedCall);
        queuedCall.completed.get(3L * TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        synchronized (this) {
            long deadline = System.nanoTime() + waitMillis * 1_000_000;
            for (long remaining = waitMillis;
                    version == knownVersion && remaining > 0 && !unavailable;
                    remaining = (deadline - System.nanoTime()) / 1_000_000) {
                wait(Math.max(1, remaining));
            }
            String entries = entriesFor(node, knownVersion);
            entriesWritten += knownVersion == 0 ? endpoints.size() : 1;
            notifiedVersions.put(node, version);
            String body = "{\"seq\":" + version + ",\"whole\":" + (knownVersion == 0) + ",\"hosts\":[" + entries + "]}";
            return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        }
    }

    private String entriesFor(String node, int knownVersion) {
        StringBuilder entries = new StringBuilder();
        endpoints.forEach((server, endpoint) -> {
            if (knownVersion == 0 ? !endpoint.health.equals("gone") : endpoint.changedIn > knownVersion) {
                entries.append(entries.length() == 0 ? "" : ",")
                        .append(entryJson(
                                server,
                                addressesByNode.get(node).get(server),
                                endpoint.health,
                                endpoint.startedAtMillis,
                                zoneOfServer.apply(server)));
            }
        });
        return entries.toString();
    }

    /** Returns a list entry in JSON. */
    public static String entryJson(String server, String address, String health, long startedAtMillis, String zone) {
        return "{\"host\":\"" + server + "\",\"dial\":\"" + address + "\",\"site\":\"" + zone
                + "\",\"class\":\"k\",\"block\":1,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":"
                + startedAtMillis + "}";
    }

    private synchronized void recordNotifications(String node) {
        endpoints.forEach((server, endpoint) -> {
            if (endpoint.health.equals("draining") && endpoint.changedIn <= notifiedVersions.get(node)) {
                drainNotificationTimes.putIfAbsent(node + ">" + server, eventLog.elapsedNanos());
            }
        });
    }

    /**
     * Returns when the node was first notified that the server is draining, in nanoseconds on the event log's clock,
     * or null if it was not notified.
     */
    public Long drainNotifiedAt(String node, String server) {
        return drainNotificationTimes.get(node + ">" + server);
    }

    /** Returns whether all given nodes have received the newest list version. */
    public synchronized boolean allNotified(Iterable<String> nodes) {
        for (String node : nodes) {
            if (notifiedVersions.getOrDefault(node, 0) < version) {
                return false;
            }
        }
        return true;
    }

    /** Returns all calls received so far, in order of arrival. */
    public synchronized List<RecordedCall> calls() {
        return List.copyOf(calls);
    }

    /** Returns the maximum number of calls received within any {@code millis} milliseconds. */
    public int peakCalls(long millis) {
        List<RecordedCall> recordedCalls = calls();
        int peak = 0;
        for (int windowStart = 0, windowEnd = 0; windowEnd < recordedCalls.size(); windowEnd++) {
            while (recordedCalls.get(windowEnd).atNanos - recordedCalls.get(windowStart).atNanos > millis * 1_000_000) {
                windowStart++;
            }
            peak = Math.max(peak, windowEnd - windowStart + 1);
        }
        return peak;
    }

    /** Returns the number of list entries processed for responses so far. */
    public synchronized long entriesWritten() {
        return entriesWritten;
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        makeUnavailable();
        for (ScriptedServer endpointServer : servers) {
            endpointServer.close();
        }
    }
}

package weldhitch.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/**
 * HTTP servers in several zones that discard repeats of a request by its idempotency key, as far as their deduplication
 * scopes reach, and count how often each key was executed. They can hold their responses. Thread-safe; each connection
 * has its own thread.
 */
public final class DeduplicatingServers implements Closeable {
    private final UnaryOperator<String> scopeOfZone;
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final Map<String, Set<String>> executedKeysByScope = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> executionsByKey = new ConcurrentHashMap<>();
    private final AtomicInteger discardedRepeats = new AtomicInteger();
    private volatile CountDownLatch responsesReleased = new CountDownLatch(0);

    /**
     * Starts the servers and adds them to the endpoint list.
     *
     * @param zones the zone of each server
     * @param scopeOfZone returns the deduplication scope of a zone's servers; servers with the same one share the keys
     *     that they remember. Null for servers that remember none.
     */
    public DeduplicatingServers(FakeDiscovery discovery, List<String> zones, UnaryOperator<String> scopeOfZone)
            throws IOException {
        this.scopeOfZone = scopeOfZone;
        for (String zone : zones) {
            ScriptedServer server = ScriptedServer.respondingWith(request -> respond(zone, request));
            servers.add(server);
            discovery.add("s" + servers.size(), server.address(), zone);
        }
    }

    private String respond(String zone, RawHttpMessage request) {
        String key = request.header("idempotency-key");
        String scope = scopeOfZone.apply(zone);
        if (scope == null
                || executedKeysByScope
                        .computeIfAbsent(scope, s -> ConcurrentHashMap.newKeySet())
                        .add(key)) {
            executionsByKey.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
        } else {
            discardedRepeats.incrementAndGet();
        }
        try {
            responsesReleased.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return "HTTP/1.1 200 OK\r\nContent-Length: " + key.length() + "\r\n\r\n" + key;
    }

    /** Holds all responses, also of requests that are executed from now on, until {@link #releaseResponses}. */
    public void holdResponses() {
        responsesReleased = new CountDownLatch(1);
    }

    /** Sends the responses that were held. */
    public void releaseResponses() {
        responsesReleased.countDown();
    }

    /** Returns how often the request with this key was executed. */
    public int executionCount(String key) {
        AtomicInteger executions = executionsByKey.get(key);
        return executions == null ? 0 : executions.get();
    }

    /** Returns the number of keys that were executed. */
    public int executedKeyCount() {
        return executionsByKey.size();
    }

    /** Returns the number of requests that were not executed because their key had been executed before. */
    public int discardedRepeatCount() {
        return discardedRepeats.get();
    }

    @Override
    public void close() throws IOException {
        releaseResponses();
        for (ScriptedServer server : servers) {
            server.close();
        }
    }
}

package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldhitch.client.CallException;
import weldhitch.client.Request;
import weldhitch.client.Response;
import weldhitch.client.WeldhitchClient;
import weldhitch.client.policy.ClientPolicy;
import weldhitch.testkit.DeduplicatingServers;
import weldhitch.testkit.FakeDiscovery;
import weldhitch.testkit.NodeFixtures;
import weldhitch.testkit.TestSupport;
import weldhitch.testkit.fleet.EventLog;
import weldhitch.testkit.fleet.ManagedProcess;
import weldhitch.testkit.fleet.NodeFleet;

/**
 * End-to-end test of calls with idempotency keys: the client library, processes of two nodes, and servers in three
 * zones that discard repeats. One node is killed while servers hold the responses of all calls.
 */
class KeyedCallsIT {
    private static final String REQUEST_CLASS = "book";
    private static final int WARM_UP_CALLS = 40;
    private static final int CALLS = 16;
    private static final long WINDOW_SECONDS = 60;

    /** Many retries and no throttling, so that nothing but the rule on repeats ends a call. */
    private static final ClientPolicy POLICY = new ClientPolicy(
            5,
            10 * ClientPolicy.MS,
            50 * ClientPolicy.MS,
            1,
            1000,
            100,
            3,
            50 * ClientPolicy.MS,
            ClientPolicy.SECOND,
            3,
            WINDOW_SECONDS * ClientPolicy.SECOND);

    /** How the calls ended whose responses were held while the node was killed. */
    private record Ends(int served, int repeatedAndServed, int outcomeUnknown, List<CallException> others) {}

    private static final class Fleet implements Closeable {
        final EventLog eventLog = new EventLog();
        final FakeDiscovery discovery = new FakeDiscovery();
        final DeduplicatingServers servers;
        final List<ManagedProcess> nodes = new ArrayList<>();
        final List<Path> configFiles = new ArrayList<>();
        final WeldhitchClient client;

        /**
         * Starts all processes and lets the client call each node.
         *
         * @param effect the effect of the request class in the settings of the nodes
         * @param group its group there
         * @param scopeOfZone the deduplication scope of the servers, see {@link DeduplicatingServers}
         */
        Fleet(String effect, String group, UnaryOperator<String> scopeOfZone) throws Exception {
            servers = new DeduplicatingServers(discovery, List.of("a", "a", "b", "b", "c", "c"), scopeOfZone);
            for (int i = 0; i < 2; i++) {
                nodes.add(startNode(i, effect, group));
            }
            String[] addresses = new String[nodes.size()];
            for (int i = 0; i < addresses.length; i++) {
                addresses[i] = "127.0.0.1:" + nodes.get(i).awaitPort();
            }
            discovery.awaitNotified();
            client = WeldhitchClient.builder()
                    .nodes(addresses)
                    .policy(POLICY)
                    .maxConcurrentConnects(CALLS)
                    .seed(1)
                    .build();
        }

        private ManagedProcess startNode(int index, String effect, String group) throws Exception {
            Path configFile = Files.createTempFile("weldhitch-keyed", ".json");
            configFiles.add(configFile);
            String config = new String(
                            NodeFixtures.configJson(discovery.address(), "", 512, ""), StandardCharsets.UTF_8)
                    .replace("\"areas\":[\"a\"]", "\"areas\":[\"a\",\"b\",\"c\"]")
                    .replace("\"me\":0,\"siblings\":1", "\"me\":" + index + ",\"siblings\":2")
                    .replace(
                            "\"name\":\"book\",\"effect\":\"non_idempotent\"",
                            "\"name\":\"book\",\"effect\":\"" + effect + "\",\"group\":\"" + group
                                    + "\",\"memorySpanS\":" + WINDOW_SECONDS);
            Files.writeString(configFile, config);
            return new ManagedProcess(
                            eventLog,
                            "n" + index,
                            NodeFleet.nodeCommand(""),
                            Map.of("GW_CONFIG", configFile.toString()))
                    .start();
        }

        private CompletableFuture<Response> call(String key) {
            return client.sendAsync(
                    Request.withIdempotencyKey(REQUEST_CLASS, key, key.getBytes(StandardCharsets.US_ASCII))
                            .withTimeout(Duration.ofSeconds(8)));
        }

        /** Makes calls, kills the first node when servers have executed all of them, and waits for their ends. */
        Ends killNodeDuringCalls() throws Exception {
            for (int i = 0; i < WARM_UP_CALLS; i++) {
                call("warm-up-" + i).join();
            }
            return killNodeDuringFurtherCalls(WARM_UP_CALLS);
        }

        /** The same with a client that has called no node before. */
        Ends killNodeDuringFirstCalls() throws Exception {
            return killNodeDuringFurtherCalls(0);
        }

        private Ends killNodeDuringFurtherCalls(int earlierCalls) throws Exception {
            servers.holdResponses();
            Map<String, CompletableFuture<Response>> calls = new LinkedHashMap<>();
            for (int i = 0; i < CALLS; i++) {
                calls.put("visit-" + i, call("visit-" + i));
            }
            TestSupport.await(() -> servers.executedKeyCount() == earlierCalls + CALLS);
            nodes.get(0).signal("KILL");
            servers.releaseResponses();
            return endsOf(calls.values());
        }

        private static Ends endsOf(Iterable<CompletableFuture<Response>> calls) {
            int served = 0;
            int repeatedAndServed = 0;
            int outcomeUnknown = 0;
            List<CallException> others = new ArrayList<>();
            for (CompletableFuture<Response> call : calls) {
                try {
                    int attempts = call.join().attempts();
                    served++;
                    repeatedAndServed += attempts > 1 ? 1 : 0;
                } catch (CompletionException e) {
                    if (e.getCause() instanceof CallException.OutcomeUnknown) {
                        outcomeUnknown++;
                    } else {
                        others.add((CallException) e.getCause());
                    }
                }
            }
            return new Ends(served, repeatedAndServed, outcomeUnknown, others);
        }

        List<String> keysExecutedTwice() {
            List<String> keys = new ArrayList<>();
            for (int i = 0; i < CALLS; i++) {
                if (servers.executionCount("visit-" + i) > 1) {
                    keys.add("visit-" + i);
                }
            }
            return keys;
        }

        @Override
        public void close() throws IOException {
            client.close();
            for (ManagedProcess node : nodes) {
                node.close();
            }
            servers.close();
            discovery.close();
            for (Path file : configFiles) {
                Files.deleteIfExists(file);
            }
        }
    }

    /**
     * Regression: bookings that were under way through a killed node were repeated through another one, which forwarded
     * them to servers of another zone, and were executed twice.
     *
     * @param effect the effect of the class at the nodes; servers discard nothing if it is not keyed there
     */
    @ParameterizedTest
    @ValueSource(strings = {"idempotency_key", "non_idempotent"})
    void callsAreNotRepeatedToServersThatDoNotDiscardRepeats(String effect) throws Exception {
        try (Fleet fleet = fleetWithLimitedScope(effect)) {
            assertNoCallWasRepeated(fleet, fleet.killNodeDuringCalls());
        }
    }

    /** The same for a client that no node has told anything: not knowing the scope is no permission. */
    @ParameterizedTest
    @ValueSource(strings = {"idempotency_key", "non_idempotent"})
    void firstCallsOfAClientAreNotRepeatedToServersThatDoNotDiscardRepeats(String effect) throws Exception {
        try (Fleet fleet = fleetWithLimitedScope(effect)) {
            assertNoCallWasRepeated(fleet, fleet.killNodeDuringFirstCalls());
        }
    }

    private static Fleet fleetWithLimitedScope(String effect) throws Exception {
        boolean deduplicates = effect.equals("idempotency_key");
        return new Fleet(effect, "zone", zone -> deduplicates ? zone : null);
    }

    private static void assertNoCallWasRepeated(Fleet fleet, Ends ends) {
        assertEquals(List.of(), fleet.keysExecutedTwice(), fleet.eventLog.tail(20));
        assertEquals(List.of(), ends.others());
        assertEquals(CALLS, ends.served() + ends.outcomeUnknown());
        assertEquals(0, ends.repeatedAndServed());
        assertTrue(ends.outcomeUnknown() > 0, "no call was under way through the node that was killed");
    }

    /** Clients are promised that such calls are repeated after a failure (WIRE, 3). */
    @Test
    void callsAreRepeatedWhereAllServersDiscardRepeats() throws Exception {
        try (Fleet fleet = new Fleet("idempotency_key", "all", zone -> "all")) {
            assertCallsWereRepeated(fleet, fleet.killNodeDuringCalls());
        }
    }

    /** Regression: the first calls of a client were not repeated, as no node had stated the scope of their class. */
    @Test
    void firstCallsOfAClientAreRepeatedWhereAllServersDiscardRepeats() throws Exception {
        try (Fleet fleet = new Fleet("idempotency_key", "all", zone -> "all")) {
            assertCallsWereRepeated(fleet, fleet.killNodeDuringFirstCalls());
        }
    }

    private static void assertCallsWereRepeated(Fleet fleet, Ends ends) {
        assertEquals(List.of(), fleet.keysExecutedTwice(), fleet.eventLog.tail(20));
        assertEquals(List.of(), ends.others());
        assertEquals(CALLS, ends.served());
        assertTrue(ends.repeatedAndServed() > 0, "no call was under way through the node that was killed");
        // More than the client's repeats, because a node may retry such a call too.
        assertTrue(fleet.servers.discardedRepeatCount() >= ends.repeatedAndServed(), "repeats that did not arrive");
    }
}

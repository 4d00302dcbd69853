package weldhitch.client;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import weldhitch.client.policy.CallResult;
import weldhitch.client.policy.ClientPolicy;
import weldhitch.testkit.FaultInjectingProxy;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedHttpServer;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.StalledListener;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/** Tests the client against scripted nodes on loopback. */
class WeldhitchClientTest {
    private static final byte[] BODY = "visit=7".getBytes(StandardCharsets.UTF_8);
    private static final ClientPolicy POLICY = new ClientPolicy(
            3,
            ClientPolicy.MS,
            50 * ClientPolicy.MS,
            1,
            1000,
            100,
            3,
            50 * ClientPolicy.MS,
            ClientPolicy.SECOND,
            3,
            60 * ClientPolicy.SECOND);

    private static WeldhitchClient client(String... nodes) {
        return client(POLICY, nodes);
    }

    private static WeldhitchClient client(ClientPolicy policy, String... nodes) {
        return WeldhitchClient.builder()
                .nodes(nodes)
                .policy(policy)
                .defaultTimeout(Duration.ofSeconds(TestSupport.TIMEOUT_SECONDS))
                .seed(1)
                .build();
    }

    private static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String serviceUnavailable(String retryAfter) {
        return "HTTP/1.1 503 x\r\nContent-Length: 0\r\n"
                + (retryAfter == null ? "" : "Retry-After: " + retryAfter + "\r\n") + "\r\n";
    }

    @Test
    void requestsFollowTheProtocolAndRetriesAreMarked() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        try (ScriptedServer node = ScriptedServer.respondingWith(
                        m -> requestCount.getAndIncrement() == 0 ? serviceUnavailable("0.05") : ok("booked"));
                WeldhitchClient client = client(node.address())) {
            Response response = client.send(Request.withIdempotencyKey("book-visit", "k-1", BODY)
                    .withPath("/7")
                    .withTenant("clinic-a")
                    .withTimeout(Duration.ofSeconds(9)));
            assertEquals("booked", new String(response.body(), StandardCharsets.UTF_8));
            assertEquals(2, response.attempts());
            RawHttpMessage first = node.nextRequest();
            RawHttpMessage second = node.nextRequest();
            assertEquals("POST /book-visit/7 HTTP/1.1", first.firstLine());
            assertEquals("book-visit", first.header("x-qos"));
            assertEquals("clinic-a", first.header("x-customer"));
            assertArrayEquals(BODY, second.body());
            assertEquals("k-1", first.header("idempotency-key"));
            assertEquals("k-1", second.header("idempotency-key"));
            assertEquals(null, first.header("x-second-try"));
            assertEquals("1", second.header("x-second-try"));
            assertTrue(first.header("x-trace-id").matches("[0-9a-f]{16}")
                    && !first.header("x-trace-id").equals(second.header("x-trace-id")));
            double elapsedSeconds = Double.parseDouble(first.header("x-expires-in"))
                    - Double.parseDouble(second.header("x-expires-in"));
            assertTrue(elapsedSeconds >= 0.05 && elapsedSeconds < 9, "decrease of X-Expires-In: " + elapsedSeconds);
            assertEquals(1, node.connections.size(), "number of connections for both requests");
            client.send(Request.idempotent("view-slots"));
            RawHttpMessage get = node.nextRequest();
            assertEquals("GET /view-slots HTTP/1.1", get.firstLine());
            assertEquals(null, get.header("content-length"));
        }
    }

    /** The remaining time that a request states is reduced by the time spent connecting. */
    @Test
    void remainingTimeDoesNotIncludeTheConnect() throws Exception {
        double timeoutSeconds = 8;
        try (StalledListener stalled = new StalledListener();
                WeldhitchClient client = WeldhitchClient.builder()
                        .nodes(stalled.address())
                        .policy(POLICY)
                        .connectTimeout(Duration.ofSeconds(5))
                        .seed(1)
                        .build()) {
            double sentAt = System.nanoTime() / 1e9;
            CompletableFuture<Response> response = client.sendAsync(
                    Request.nonIdempotent("book-visit", BODY).withTimeout(Duration.ofSeconds((long) timeoutSeconds)));
            stalled.awaitConnectAttempt();
            TestConnection node = stalled.release();
            RawHttpMessage request = node.readMessage();
            double elapsed = System.nanoTime() / 1e9 - sentAt;
            double statedSeconds = Double.parseDouble(request.header("x-expires-in"));
            assertTrue(
                    statedSeconds <= timeoutSeconds - elapsed + 0.15,
                    "stated remaining time " + statedSeconds + " s, " + elapsed + " s after the call");
            node.write(ok("booked"));
            assertEquals(1, response.join().attempts());
        }
    }

    /**
     * A node closes an idle connection, or writes to it, while the client's event loop is blocked. The next call uses
     * another connection and gets its own response.
     */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset", "stray response"})
    void idleConnectionThatChangedUnnoticedIsNotReused(String change) throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ScriptedServer node = ScriptedServer.respondingWith(m -> ok(m.firstLine()));
                WeldhitchClient client = WeldhitchClient.builder()
                        .nodes(node.address())
                        .policy(POLICY)
                        .eventLoopGroup(group)
                        .seed(1)
                        .build()) {
            client.send(Request.idempotent("view-slots"));
            TestConnection idle = node.nextConnection();
            CountDownLatch loopReleased = new CountDownLatch(1);
            group.next().execute(() -> {
                try {
                    loopReleased.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            CompletableFuture<Response> response = client.sendAsync(Request.nonIdempotent("book-visit", BODY));
            switch (change) {
                case "close" -> idle.close();
                case "reset" -> {
                    idle.reset();
                    // The socket is closed, and the reset sent, only when the handler's blocked read has returned.
                    TestSupport.await(() -> node.activeHandlers() == 0);
                }
                default -> idle.write(ok("stray"));
            }
            loopReleased.countDown();
            assertEquals("POST /book-visit HTTP/1.1", new String(response.join().body(), StandardCharsets.UTF_8));
            assertEquals(1, response.join().attempts());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** A call that may have been executed is never retried, and is not reported as a failure. */
    @Test
    void nonIdempotentCallWithoutResponseIsUnknownAndSentOnce() throws Exception {
        for (ScriptedHttpServer.Step fault : List.of(
                ScriptedHttpServer.resetAfterLastByte(),
                ScriptedHttpServer.stallMidResponse("booked"),
                ScriptedHttpServer.respondMalformed("HTP!\r\n\r\n"),
                ScriptedHttpServer.respondWithStatus(500),
                ScriptedHttpServer.hang(),
                ScriptedHttpServer.respondMalformed(ok("x".repeat(70_000))))) {
            try (ScriptedHttpServer node = new ScriptedHttpServer("n").enqueue(fault);
                    WeldhitchClient client = client(node.address())) {
                assertThrows(
                        CallException.OutcomeUnknown.class,
                        () -> client.send(
                                Request.nonIdempotent("book-visit", BODY).withTimeout(Duration.ofMillis(700))),
                        fault.toString());
                assertEquals(1, node.receivedRequests().size(), fault.toString());
                // An idempotent call is retried after the same outcome.
                node.enqueue(ScriptedHttpServer.resetAfterLastByte());
                assertEquals(2, client.send(Request.idempotent("view-slots")).attempts());
            }
        }
    }

    /**
     * Regression: a call with an idempotency key that may have been executed was repeated whichever servers discard
     * repeats. It is repeated only where a node has stated that all servers do, as clients are promised.
     */
    @ParameterizedTest
    @CsvSource({"all, 2", " all , 2", "zone, 1", "cell, 1", "none, 1", "ALL, 1", "region, 1", "'', 1"})
    void keyedCallIsRepeatedByTheScopeThatTheNodeStates(String scope, int expectedAttempts) throws Exception {
        assertAttemptsOfLostKeyedCall(POLICY, scope, expectedAttempts);
    }

    /** A declared class counts while no node states its scope, as nodes of earlier releases do not. */
    @ParameterizedTest
    @CsvSource({", 2", "all, 2", "zone, 1"})
    void keyedCallOfADeclaredClassIsRepeatedUnlessTheNodeStatesOtherwise(String scope, int expectedAttempts)
            throws Exception {
        assertAttemptsOfLostKeyedCall(POLICY.withGloballyDeduplicatedClasses("book-visit"), scope, expectedAttempts);
        assertAttemptsOfLostKeyedCall(
                POLICY.withGloballyDeduplicatedClasses("another"), scope, "all".equals(scope) ? 2 : 1);
    }

    /**
     * Makes one call that is served, and one whose first attempt is executed and gets no response.
     *
     * @param scope the deduplication scope that the node states if it is asked; null for a node that states none
     */
    private static void assertAttemptsOfLostKeyedCall(ClientPolicy policy, String scope, int expectedAttempts)
            throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        ScriptedServer node = new ScriptedServer(connection -> {
            for (RawHttpMessage m = connection.readMessage(); m != null; m = connection.readMessage()) {
                if (requestCount.incrementAndGet() == 2) {
                    connection.reset();
                    return;
                }
                boolean stated = scope != null && "1".equals(m.header("x-want-deduplication-scope"));
                String statement = stated ? "X-Deduplication-Scope: " + scope + "\r\n" : "";
                connection.write(ok("booked").replaceFirst("\r\n", "\r\n" + statement));
            }
        });
        try (node;
                WeldhitchClient client = client(policy, node.address())) {
            client.send(Request.withIdempotencyKey("book-visit", "k-1", BODY));
            sendLostKeyedCall(client, expectedAttempts);
            assertEquals(1 + expectedAttempts, requestCount.get());
        }
    }

    /**
     * Regression: the first keyed calls of a client were not repeated, as no node had stated a scope yet. A node is
     * asked before the repeat; one of an earlier release answers with 405.
     */
    @ParameterizedTest
    @CsvSource({"all, 2", "zone, 1", ", 1"})
    void firstKeyedCallIsRepeatedByTheScopeThatAQueriedNodeStates(String scope, int expectedAttempts) throws Exception {
        String answer = scope == null
                ? "HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 0\r\n\r\n"
                : "HTTP/1.1 200 OK\r\nX-Deduplication-Scope: " + scope + "\r\nContent-Length: 0\r\n\r\n";
        AtomicInteger queryCount = new AtomicInteger();
        assertAttemptsOfFirstKeyedCall(expectedAttempts, query -> {
            queryCount.incrementAndGet();
            assertEquals("1", query.header("x-want-deduplication-scope"));
            return answer;
        });
        assertEquals(1, queryCount.get());
    }

    /** A node that doesn't answer the query holds the call until the query's timeout, not until the call's. */
    @Test
    void firstKeyedCallEndsWhereNoNodeAnswersTheQuery() throws Exception {
        AtomicInteger queryCount = new AtomicInteger();
        assertAttemptsOfFirstKeyedCall(1, query -> {
            queryCount.incrementAndGet();
            return "";
        });
        assertEquals(POLICY.maxAttempts(), queryCount.get());
    }

    /**
     * Makes a client's first call, whose first attempt is executed and gets no response.
     *
     * @param answerToQuery returns what the node writes in answer to a query for the scope
     */
    private static void assertAttemptsOfFirstKeyedCall(
            int expectedAttempts, Function<RawHttpMessage, String> answerToQuery) throws Exception {
        AtomicInteger callCount = new AtomicInteger();
        ScriptedServer node = new ScriptedServer(connection -> {
            for (RawHttpMessage m = connection.readMessage(); m != null; m = connection.readMessage()) {
                if (m.firstLine().startsWith("OPTIONS /book-visit ")) {
                    connection.write(answerToQuery.apply(m));
                } else if (callCount.incrementAndGet() == 1) {
                    connection.reset();
                    return;
                } else {
                    connection.write(ok("booked"));
                }
            }
        });
        try (node;
                WeldhitchClient client = client(node.address())) {
            sendLostKeyedCall(client, expectedAttempts);
            assertEquals(expectedAttempts, callCount.get());
        }
    }

    /**
     * Regression: a repeat whose connection took longer to establish than the deduplication window lasted was sent
     * nevertheless, and executed.
     */
    @Test
    void keyedCallIsNotRepeatedOnAConnectionThatIsEstablishedAfterTheWindow() throws Exception {
        // Half of the time that a stalled connect takes at least.
        long window = ClientPolicy.SECOND / 2;
        ClientPolicy policy = new ClientPolicy(
                3,
                ClientPolicy.MS,
                50 * ClientPolicy.MS,
                1,
                1000,
                100,
                3,
                50 * ClientPolicy.MS,
                ClientPolicy.SECOND,
                3,
                window);
        CompletableFuture<WeldhitchClient> created = new CompletableFuture<>();
        try (StalledListener stalled = new StalledListener();
                ScriptedServer node = new ScriptedServer(connection -> {
                    connection.readMessage();
                    created.get().updateNodes(List.of(stalled.address()));
                    connection.reset();
                });
                WeldhitchClient client = WeldhitchClient.builder()
                        .nodes(node.address())
                        .policy(policy.withGloballyDeduplicatedClasses("book-visit"))
                        .connectTimeout(Duration.ofSeconds(TestSupport.TIMEOUT_SECONDS))
                        .defaultTimeout(Duration.ofSeconds(TestSupport.TIMEOUT_SECONDS))
                        .build()) {
            created.complete(client);
            CompletableFuture<Response> call = client.sendAsync(Request.withIdempotencyKey("book-visit", "k-1", BODY));
            stalled.awaitConnectAttempt();
            try (TestConnection connection = stalled.release()) {
                assertInstanceOf(
                        CallException.OutcomeUnknown.class,
                        assertThrows(CompletionException.class, call::join).getCause());
                CompletableFuture<Response> nextCall = client.sendAsync(Request.idempotent("view-slots"));
                assertEquals(
                        "GET /view-slots HTTP/1.1",
                        connection.readMessage().firstLine(),
                        "first request on the connection");
                connection.write(ok("x"));
                nextCall.join();
            }
        }
    }

    /** Makes a call whose first attempt is lost: it is served by a repeat, or ends after the first attempt. */
    private static void sendLostKeyedCall(WeldhitchClient client, int expectedAttempts) throws Exception {
        Request lost = Request.withIdempotencyKey("book-visit", "k-lost", BODY);
        if (expectedAttempts > 1) {
            assertEquals(expectedAttempts, client.send(lost).attempts());
        } else {
            assertThrows(CallException.OutcomeUnknown.class, () -> client.send(lost));
        }
    }

    /** Only a request with an idempotency key asks for the scope: every other request is as it was. */
    @Test
    void onlyKeyedRequestsAskForTheDeduplicationScope() throws Exception {
        try (ScriptedServer node = ScriptedServer.respondingWith(m -> ok("x"));
                WeldhitchClient client = client(node.address())) {
            client.send(Request.idempotent("view-slots"));
            client.send(Request.nonIdempotent("book-visit", BODY));
            client.send(Request.withIdempotencyKey("book-visit", "k-1", BODY));
            assertEquals(null, node.nextRequest().header("x-want-deduplication-scope"));
            assertEquals(null, node.nextRequest().header("x-want-deduplication-scope"));
            assertEquals("1", node.nextRequest().header("x-want-deduplication-scope"));
        }
    }

    @Test
    void callsThatWereNotExecutedAreRetriedEvenIfNonIdempotent() throws Exception {
        try (ScriptedHttpServer node =
                        new ScriptedHttpServer("n").enqueue(ScriptedHttpServer.reject(), ScriptedHttpServer.reject());
                WeldhitchClient client = client(node.address())) {
            assertEquals(
                    3, client.send(Request.nonIdempotent("book-visit", BODY)).attempts());
            node.byDefault(ScriptedHttpServer.reject());
            CallException.NotExecuted rejected = assertThrows(
                    CallException.NotExecuted.class, () -> client.send(Request.nonIdempotent("book-visit", BODY)));
            assertEquals(CallResult.REJECTED, rejected.reason());
            assertEquals(3, rejected.attempts());
        }
        String closedAddress;
        try (ScriptedServer closedNode = ScriptedServer.respondingWith(m -> ok(""))) {
            closedAddress = closedNode.address();
        }
        try (WeldhitchClient client = client(closedAddress)) {
            CallException.NotExecuted unreachable = assertThrows(
                    CallException.NotExecuted.class, () -> client.send(Request.nonIdempotent("book-visit", BODY)));
            assertEquals(CallResult.UNREACHABLE, unreachable.reason());
        }
        try (ScriptedServer reachableNode = ScriptedServer.respondingWith(m -> ok("y"));
                WeldhitchClient client = client(closedAddress, reachableNode.address())) {
            for (int i = 0; i < 30; i++) {
                assertEquals(
                        "y",
                        new String(
                                client.send(Request.nonIdempotent("book-visit", BODY))
                                        .body(),
                                StandardCharsets.UTF_8));
            }
        }
    }

    /** A rejection that arrives after the deadline is ignored, and its connection is not reused. */
    @Test
    void rejectionAfterTheDeadlineIsIgnored() throws Exception {
        try (ScriptedHttpServer node = new ScriptedHttpServer("n")
                        .enqueue(ScriptedHttpServer.delayed(600, ScriptedHttpServer.reject()));
                WeldhitchClient client = client(node.address())) {
            assertThrows(
                    CallException.OutcomeUnknown.class,
                    () -> client.send(Request.nonIdempotent("book-visit", BODY).withTimeout(Duration.ofMillis(200))));
            assertEquals(
                    "n",
                    new String(client.send(Request.idempotent("view-slots")).body(), StandardCharsets.UTF_8));
            assertEquals(2, node.receivedRequests().size());
        }
    }

    @Test
    void retryAfterBeyondTheDeadlineFailsImmediately() throws Exception {
        try (ScriptedServer node = ScriptedServer.respondingWith(m -> serviceUnavailable("30"));
                WeldhitchClient client = client(node.address())) {
            CallException.NotExecuted rejected = assertThrows(
                    CallException.NotExecuted.class,
                    () -> client.send(Request.nonIdempotent("book-visit", BODY).withTimeout(Duration.ofSeconds(15))));
            assertEquals(Duration.ofSeconds(30), rejected.retryAfter());
            assertEquals(1, rejected.attempts());
            // Within the Retry-After of the node another call is not even sent.
            assertThrows(
                    CallException.NotExecuted.class,
                    () -> client.send(Request.idempotent("view-slots").withTimeout(Duration.ofSeconds(15))));
            assertEquals(1, node.requests.size());
        }
    }

    @Test
    void informationalAndSurplusResponsesAreIgnored() throws Exception {
        try (ScriptedServer node = ScriptedServer.respondingWith(m ->
                        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + ok("real"));
                WeldhitchClient client = client(node.address())) {
            assertEquals(
                    "real",
                    new String(client.send(Request.idempotent("view-slots")).body(), StandardCharsets.UTF_8));
        }
        AtomicInteger responseCount = new AtomicInteger();
        try (ScriptedServer node = ScriptedServer.respondingWith(
                        m -> ok(RawHttpMessage.header(m.head(), "x-qos") + responseCount.incrementAndGet())
                                + ok("somebody else's"));
                WeldhitchClient client = client(node.address())) {
            for (int i = 0; i < 10; i++) {
                String body =
                        new String(client.send(Request.idempotent("c" + i)).body(), StandardCharsets.UTF_8);
                assertTrue(body.startsWith("c" + i), body);
            }
        }
    }

    @Test
    void cancelAndCloseCompleteEveryCallOnce() throws Exception {
        try (ScriptedHttpServer node = new ScriptedHttpServer("n").byDefault(ScriptedHttpServer.hang())) {
            WeldhitchClient client = client(node.address());
            CompletableFuture<Response> cancelledCall = client.sendAsync(Request.nonIdempotent("book-visit", BODY));
            TestSupport.await(() -> node.receivedRequests().size() == 1);
            assertTrue(cancelledCall.cancel(true));
            List<CompletableFuture<Response>> burst = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                burst.add(client.sendAsync(Request.idempotent("view-slots")));
            }
            client.close();
            for (CompletableFuture<Response> pendingCall : burst) {
                assertThrows(CancellationException.class, pendingCall::join);
            }
            assertTrue(client.sendAsync(Request.idempotent("view-slots")).isCancelled());
        }
    }

    /**
     * Without any response a call still ends shortly after its deadline, and the client recovers once the network does.
     */
    @Test
    void noCallOutlivesItsDeadline() throws Exception {
        try (ScriptedHttpServer node = new ScriptedHttpServer("n");
                FaultInjectingProxy link = new FaultInjectingProxy(node.address());
                WeldhitchClient client = client(link.address())) {
            client.send(Request.idempotent("view-slots"));
            link.drop(FaultInjectingProxy.Direction.TO_CLIENT);
            long startedAt = System.nanoTime();
            assertThrows(
                    CallException.Failed.class,
                    () -> client.send(Request.idempotent("view-slots").withTimeout(Duration.ofMillis(300))));
            long elapsedMillis = (System.nanoTime() - startedAt) / 1_000_000;
            assertTrue(elapsedMillis >= 299 && elapsedMillis < 2000, elapsedMillis + " ms");
            link.heal();
            TestSupport.await(() -> {
                try {
                    return client.send(Request.idempotent("view-slots").withTimeout(Duration.ofSeconds(2)))
                                    .attempts()
                            > 0;
                } catch (CallException e) {
                    return false;
                }
            });
        }
    }

    @Test
    void connectionCloseFromANodeLosesNoCall() throws Exception {
        try (ScriptedServer node = ScriptedServer.respondingWith(
                        m -> ok("x").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
                WeldhitchClient client = client(node.address())) {
            for (int i = 0; i < 5; i++) {
                assertEquals(
                        1,
                        client.send(Request.nonIdempotent("book-visit", BODY)).attempts());
            }
            assertEquals(5, node.connections.size());
        }
    }

    @Test
    void retryAfterIsParsedInAllItsForms() {
        Instant now = Instant.parse("2026-12-01T10:00:00Z");
        DateTimeFormatter date = DateTimeFormatter.RFC_1123_DATE_TIME;
        assertEquals(2_500_000_000L, RetryAfterHeader.parseNanos(" 2.5 ", now));
        assertEquals(7_000_000_000L, RetryAfterHeader.parseNanos("7", now));
        assertEquals(
                90_000_000_000L,
                RetryAfterHeader.parseNanos(date.format(now.plusSeconds(90).atOffset(ZoneOffset.UTC)), now));
        assertEquals(
                0, RetryAfterHeader.parseNanos(date.format(now.minusSeconds(90).atOffset(ZoneOffset.UTC)), now));
        for (String invalid :
                new String[] {null, "", "-3", "soon", "1e99", "NaN", "99999999999", "Tue, 32 Dec 2026 10:00:00 GMT"}) {
            assertEquals(0, RetryAfterHeader.parseNanos(invalid, now), String.valueOf(invalid));
        }
    }

    @Test
    void allInvalidSettingsAreReportedTogether() {
        String message = assertThrows(
                        IllegalArgumentException.class,
                        () -> WeldhitchClient.builder()
                                .nodes("nowhere", "a:99999")
                                .defaultTimeout(Duration.ZERO)
                                .connectTimeout(Duration.ofHours(1))
                                .maxConcurrentConnects(0)
                                .build())
                .getMessage();
        for (String name : List.of("nowhere", "a:99999", "defaultTimeout", "connectTimeout", "maxConcurrentConnects")) {
            assertTrue(message.contains(name), name + " in " + message);
        }
        assertThrows(IllegalArgumentException.class, () -> Request.idempotent("view slots"));
        assertThrows(
                IllegalArgumentException.class, () -> Request.nonIdempotent("b", new byte[Request.MAX_BODY_BYTES + 1]));
        assertThrows(IllegalArgumentException.class, () -> Request.withIdempotencyKey("b", "k\r\nX: 1", BODY));
        assertFalse(Request.nonIdempotent("b", BODY).body() == BODY);
    }
}

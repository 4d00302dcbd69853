package weldhitch.client;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import weldhitch.client.policy.AttemptOutcome;
import weldhitch.client.policy.CallStateMachine;
import weldhitch.client.policy.ClientAction;
import weldhitch.client.policy.ClientEvent;
import weldhitch.client.policy.ClientPolicy;
import weldhitch.client.policy.StatedDeduplicationScope;

/**
 * Sends requests to load-balancing nodes: enforces deadlines, retries only requests that may be executed again,
 * honours Retry-After, and reconnects to a lost node after a random delay that differs between clients.
 * Thread-safe; one event loop does all the work.
 *
 * <pre>{@code
 * try (WeldhitchClient client = WeldhitchClient.builder().nodes("127.0.0.1:8080").build()) {
 *     Response slots = client.send(Request.idempotent("view-slots").withTimeout(Duration.ofMillis(600)));
 * }
 * }</pre>
 */
public final class WeldhitchClient implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(WeldhitchClient.class);
    private static final SecureRandom RANDOM = new SecureRandom();

    private final EventLoopGroup ownedEventLoopGroup;
    private final EventLoop eventLoop;
    private final ConnectionPool connectionPool;
    private final CallStateMachine stateMachine;
    private final long defaultTimeoutNanos;
    private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();
    private final ArrayDeque<ClientEvent> eventQueue = new ArrayDeque<>();
    private Future<?> timer;
    private boolean delivering;
    private boolean closed;
    private long lastCallId;

    /** A call that has not completed; used only on the event loop. */
    private static final class PendingCall {
        final Request request;
        final CompletableFuture<Response> response;
        ConnectionPool.AttemptHandle attemptHandle;
        byte[] responseBody;

        PendingCall(Request request, CompletableFuture<Response> response) {
            this.request = request;
            this.response = response;
        }
    }

    private WeldhitchClient(Builder builder) {
        ownedEventLoopGroup =
                builder.eventLoopGroup == null ? new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()) : null;
        eventLoop = (builder.eventLoopGroup == null ? ownedEventLoopGroup : builder.eventLoopGroup).next();
        defaultTimeoutNanos = builder.defaultTimeout.toNanos();
        connectionPool = new ConnectionPool(
                eventLoop,
                (int) builder.connectTimeout.toMillis(),
                builder.maxConcurrentConnects,
                node -> submit(new ClientEvent.ConnectionLost(node)));
        stateMachine = new CallStateMachine(builder.policy, builder.nodes, builder.seed);
    }

    /** Returns a builder with the default settings. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Sends a request without blocking. The future completes once and no later than the deadline: with the response,
     * with a {@link CallException}, or cancelled if the caller cancels it or the client is closed.
     */
    public CompletableFuture<Response> sendAsync(Request request) {
        CompletableFuture<Response> response = new CompletableFuture<>();
        long deadline = System.nanoTime()
                + (request.timeout() == null
                        ? defaultTimeoutNanos
                        : request.timeout().toNanos());
        try {
            eventLoop.execute(() -> startCall(request, deadline, response));
        } catch (RejectedExecutionException e) {
            response.cancel(false);
        }
        return response;
    }

    /**
     * Sends a request and blocks until it completes; must not be called on the event loop.
     *
     * @throws CallException if there is no successful response
     * @throws CancellationException if the client is closed meanwhile
     */
    public Response send(Request request) {
        try {
            return sendAsync(request).join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof CallException callFailure) {
                throw callFailure;
            }
            throw e;
        }
    }

    /**
     * Replaces the list of nodes; attempts in flight continue at their nodes.
     *
     * @throws IllegalArgumentException if an address is not host:port
     */
    public void updateNodes(List<String> addresses) {
        List<String> newAddresses = List.copyOf(addresses);
        newAddresses.forEach(Builder::requireValidAddress);
        eventLoop.execute(() -> submit(new ClientEvent.NodesChanged(newAddresses)));
    }

    private void startCall(Request request, long deadline, CompletableFuture<Response> response) {
        if (closed) {
            response.cancel(false);
            return;
        }
        long callId = ++lastCallId;
        pendingCalls.put(callId, new PendingCall(request, response));
        response.whenComplete((result, failure) -> {
            if (response.isCancelled()) {
                try {
                    eventLoop.execute(() -> submit(new ClientEvent.CallCancelled(callId)));
                } catch (RejectedExecutionException loopClosed) {
                    // close() has cancelled the call already.
                }
            }
        });
        submit(new ClientEvent.CallStarted(callId, request.requestClass(), request.idempotency(), deadline));
    }

    /**
     * Passes an event to the state machine and executes the resulting actions; an event submitted meanwhile is queued.
     * Called only on the event loop.
     */
    private void submit(ClientEvent event) {
        eventQueue.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (ClientEvent nextEvent = eventQueue.poll(); nextEvent != null; nextEvent = eventQueue.poll()) {
                stateMachine.handle(System.nanoTime(), nextEvent).forEach(this::executeGuarded);
            }
        } finally {
            delivering = false;
        }
    }

    /** Executes one action; if it fails, those after it are executed all the same, as one may schedule the timer. */
    private void executeGuarded(ClientAction action) {
        try {
            execute(action);
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("action failed: {}", action.getClass().getSimpleName(), e);
        }
    }

    private void execute(ClientAction action) {
        if (action instanceof ClientAction.SendAttempt attempt) {
            PendingCall call = pendingCalls.get(attempt.callId());
            long startedAt = System.nanoTime();
            call.attemptHandle = connectionPool.send(
                    attempt.node(),
                    () -> RequestEncoder.attempt(call.request, attempt, System.nanoTime() - startedAt),
                    result -> onAttemptEnded(call, attempt, result));
        } else if (action instanceof ClientAction.CancelAttempt) {
            pendingCalls
                    .get(((ClientAction.CancelAttempt) action).callId())
                    .attemptHandle
                    .abandon();
        } else if (action instanceof ClientAction.QueryScope query) {
            new ScopeQuery(query, connectionPool, eventLoop, result -> onScopeQueryEnded(query, result)).start();
        } else if (action instanceof ClientAction.CompleteCall completion) {
            complete(pendingCalls.remove(completion.callId()), completion);
        } else if (action instanceof ClientAction.ScheduleTimer schedule) {
            if (timer != null) {
                timer.cancel(false);
            }
            timer = eventLoop.schedule(
                    () -> submit(new ClientEvent.TimerFired()),
                    Math.max(0, schedule.at() - System.nanoTime()),
                    TimeUnit.NANOSECONDS);
        }
    }

    private void onAttemptEnded(PendingCall call, ClientAction.SendAttempt attempt, AttemptResult result) {
        call.responseBody = result.body();
        String requestClass = call.request.requestClass();
        if (result.outcome() != AttemptOutcome.OK) {
            LOG.debug(
                    "attempt {} of request class {} at node {} ended: {}",
                    attempt.attempt(),
                    requestClass,
                    attempt.node(),
                    result.outcome());
        }
        if (call.request.idempotencyKey() != null) {
            // Only a complete response shows that a node states no scope: it may reject a request before it reads all
            // of
            // its headers.
            reportScope(attempt.node(), requestClass, result, result.outcome() == AttemptOutcome.OK);
        }
        submit(new ClientEvent.AttemptEnded(
                attempt.callId(), attempt.attempt(), result.outcome(), result.retryAfterNanos()));
    }

    private void onScopeQueryEnded(ClientAction.QueryScope query, AttemptResult result) {
        reportScope(query.node(), query.requestClass(), result, result.hasResponse());
        submit(new ClientEvent.ScopeQueryEnded(query.requestClass(), result.outcome(), result.retryAfterNanos()));
    }

    /**
     * Reports the scope that a response to a request that asked for it states.
     *
     * @param absenceCounts whether a response without a statement shows that the node states none
     */
    private void reportScope(String node, String requestClass, AttemptResult result, boolean absenceCounts) {
        if (result.deduplicationScope() != null) {
            submit(new ClientEvent.DeduplicationScopeStated(node, requestClass, result.deduplicationScope()));
        } else if (absenceCounts) {
            submit(new ClientEvent.DeduplicationScopeStated(node, requestClass, StatedDeduplicationScope.NOT_STATED));
        }
    }

    private static void complete(PendingCall call, ClientAction.CompleteCall completion) {
        switch (completion.result()) {
            case SUCCEEDED -> call.response.complete(new Response(call.responseBody, completion.attempts()));
            case CANCELLED -> call.response.cancel(false);
            case FAILED -> call.response.completeExceptionally(new CallException.Failed(completion.attempts()));
            case OUTCOME_UNKNOWN ->
                call.response.completeExceptionally(new CallException.OutcomeUnknown(completion.attempts()));
            case REJECTED, THROTTLED, UNREACHABLE, DEADLINE_EXCEEDED ->
                call.response.completeExceptionally(new CallException.NotExecuted(
                        completion.result(), completion.attempts(), Duration.ofNanos(completion.retryAfter())));
        }
    }

    /**
     * Cancels the calls in flight, closes all connections, and stops the event loop if the client owns it.
     * Blocks until that is done.
     */
    @Override
    public void close() {
        if (!eventLoop.isShuttingDown()) {
            eventLoop
                    .submit(() -> {
                        closed = true;
                        for (Long callId : List.copyOf(pendingCalls.keySet())) {
                            submit(new ClientEvent.CallCancelled(callId));
                        }
                        connectionPool.close();
                        if (timer != null) {
                            timer.cancel(false);
                        }
                    })
                    .awaitUninterruptibly();
        }
        if (ownedEventLoopGroup != null) {
            ownedEventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    /** Builds a client; {@link #build} reports all invalid settings together. Not thread-safe. */
    public static final class Builder {
        private List<String> nodes = List.of();
        private ClientPolicy policy = ClientPolicy.DEFAULTS;
        private Duration defaultTimeout = Duration.ofSeconds(3);
        private Duration connectTimeout = Duration.ofSeconds(1);
        private int maxConcurrentConnects = 4;
        private long seed = RANDOM.nextLong();
        private EventLoopGroup eventLoopGroup;

        private Builder() {}

        /** Sets the host and port of each node. */
        public Builder nodes(String... addresses) {
            nodes = List.of(addresses);
            return this;
        }

        /** Sets the retry, throttling and ejection settings; {@link ClientPolicy#DEFAULTS} by default. */
        public Builder policy(ClientPolicy value) {
            policy = value;
            return this;
        }

        /** Sets the timeout of requests that have none; 3 s by default. */
        public Builder defaultTimeout(Duration value) {
            defaultTimeout = value;
            return this;
        }

        /** Sets how long establishing a connection may take; 1 s by default. */
        public Builder connectTimeout(Duration value) {
            connectTimeout = value;
            return this;
        }

        /** Sets how many connections may be established concurrently; 4 by default. */
        public Builder maxConcurrentConnects(int value) {
            maxConcurrentConnects = value;
            return this;
        }

        /** Sets the seed of all random choices, for tests; by default each client draws its own. */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Sets the event loop group, which the caller owns and shuts down; by default the client owns a group with one
         * thread.
         */
        public Builder eventLoopGroup(EventLoopGroup value) {
            eventLoopGroup = value;
            return this;
        }

        private static String addressError(String address) {
            int colon = address.lastIndexOf(':');
            boolean valid = colon > 0
                    && address.substring(colon + 1).matches("\\d{1,5}")
                    && Integer.parseInt(address.substring(colon + 1)) <= 65_535;
            return valid ? null : "nodes: " + address + ", expected host:port";
        }

        private static void requireValidAddress(String address) {
            String error = addressError(address);
            if (error != null) {
                throw new IllegalArgumentException(error);
            }
        }

        /**
         * Creates the client; connections are opened when requests need them.
         *
         * @throws IllegalArgumentException if settings are invalid; the message names all of them
         */
        public WeldhitchClient build() {
            List<String> errors = new ArrayList<>();
            if (nodes.isEmpty()) {
                errors.add("nodes: none, expected one or more");
            }
            nodes.forEach(address -> {
                String error = addressError(address);
                if (error != null) {
                    errors.add(error);
                }
            });
            if (defaultTimeout.isNegative() || defaultTimeout.isZero()) {
                errors.add("defaultTimeout: " + defaultTimeout + ", expected more than zero");
            }
            if (connectTimeout.toMillis() < 1 || connectTimeout.toMillis() > 60_000) {
                errors.add("connectTimeout: " + connectTimeout + ", expected 1 ms to 1 minute");
            }
            if (maxConcurrentConnects < 1) {
                errors.add("maxConcurrentConnects: " + maxConcurrentConnects + ", expected 1 or more");
            }
            if (!errors.isEmpty()) {
                throw new IllegalArgumentException(String.join("; ", errors));
            }
            return new WeldhitchClient(this);
        }
    }
}

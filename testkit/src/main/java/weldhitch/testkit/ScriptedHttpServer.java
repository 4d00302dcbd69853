package weldhitch.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP server that follows a script: each request takes the next step of the script, or the default step once
 * the script is used up. Counts executions by request id, so that tests can check that no non-idempotent request
 * is executed twice. Thread-safe; each connection has its own thread.
 *
 * <pre>{@code
 * new ScriptedHttpServer("s1").enqueue(reject(), delayed(50, respond("late"))).byDefault(respond("x"))
 * }</pre>
 */
public final class ScriptedHttpServer implements Closeable {
    /** Defines how the server treats one request. Immutable. */
    public sealed interface Step
            permits FullResponse,
                    Rejection,
                    ErrorStatus,
                    DelayedStep,
                    ResetBeforeBody,
                    ResetAfterRequest,
                    StalledResponse,
                    MalformedResponse,
                    NoResponse {
        /** Returns whether the request is executed. */
        default boolean executesRequest() {
            return true;
        }
    }

    /** Responds with status 200 and a body. */
    private record FullResponse(String body) implements Step {}

    /** Responds with a status and no body. */
    private record ErrorStatus(int status) implements Step {}

    /** Performs another step after a delay. */
    private record DelayedStep(long millis, Step step) implements Step {
        @Override
        public boolean executesRequest() {
            return step.executesRequest();
        }
    }

    /** Executes the request and resets the connection without a response. */
    private record ResetAfterRequest() implements Step {}

    /** Sends the first half of the body and then nothing more. */
    private record StalledResponse(String body) implements Step {}

    /** Sends bytes that are not an HTTP response. */
    private record MalformedResponse(String rawResponse) implements Step {}

    /** Sends no response. */
    private record NoResponse() implements Step {}

    /** Responds with status 503 and states that the request was not executed. */
    private record Rejection() implements Step {
        @Override
        public boolean executesRequest() {
            return false;
        }
    }

    /** Resets the connection before the body is read. */
    private record ResetBeforeBody() implements Step {
        @Override
        public boolean executesRequest() {
            return false;
        }
    }

    /** Returns a step that executes the request and responds with status 200 and this body. */
    public static Step respond(String body) {
        return new FullResponse(body);
    }

    /** Returns a step that rejects the request, without execution, with status 503 and {@code X-Never-Ran}. */
    public static Step reject() {
        return new Rejection();
    }

    /** Returns a step that executes the request and responds with this status and no body. */
    public static Step respondWithStatus(int status) {
        return new ErrorStatus(status);
    }

    /** Returns a step that performs another step {@code millis} milliseconds later. */
    public static Step delayed(long millis, Step step) {
        return new DelayedStep(millis, step);
    }

    /** Returns a step that resets the connection after the head, before the body is read and without execution. */
    public static Step resetBeforeLastByte() {
        return new ResetBeforeBody();
    }

    /** Returns a step that executes the request and resets the connection without a response. */
    public static Step resetAfterLastByte() {
        return new ResetAfterRequest();
    }

    /**
     * Returns a step that executes the request, sends the first half of this body and then stalls with the connection
     * open.
     */
    public static Step stallMidResponse(String body) {
        return new StalledResponse(body);
    }

    /** Returns a step that executes the request and responds with these bytes, which are not an HTTP response. */
    public static Step respondMalformed(String rawResponse) {
        return new MalformedResponse(rawResponse);
    }

    /** Returns a step that executes the request and never responds. */
    public static Step hang() {
        return new NoResponse();
    }

    /**
     * A received request. Immutable.
     *
     * @param id the trace id of the request
     * @param receivedAtNanos {@link System#nanoTime} at which the last byte had arrived, or the head if the connection
     *     was reset before the body was read
     * @param expiresInSeconds the remaining time that the request states, in seconds; infinite if it states none
     */
    public record ReceivedRequest(String id, long receivedAtNanos, double expiresInSeconds, Step step) {}

    private final String name;
    private final ScriptedServer server;
    private final Deque<Step> script = new ArrayDeque<>();
    private final Map<String, Integer> executionsById = new ConcurrentHashMap<>();
    private final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();
    private final CountDownLatch closed = new CountDownLatch(1);
    private Step defaultStep;

    /** Starts to listen; the default step responds with the server's name. */
    public ScriptedHttpServer(String name) throws IOException {
        this.name = name;
        defaultStep = respond(name);
        server = new ScriptedServer(this::serve);
    }

    /** Appends steps to the script; each is used for one request, in order, before the default step applies. */
    public synchronized ScriptedHttpServer enqueue(Step... steps) {
        script.addAll(List.of(steps));
        return this;
    }

    /** Sets the step for requests that arrive when the script is used up. */
    public synchronized ScriptedHttpServer byDefault(Step step) {
        defaultStep = step;
        return this;
    }

    private synchronized Step nextStep() {
        Step scripted = script.poll();
        return scripted == null ? defaultStep : scripted;
    }

    private void serve(TestConnection connection) throws Exception {
        for (String head = connection.readHead(); head != null; head = connection.readHead()) {
            Step step = nextStep();
            if (!(step instanceof ResetBeforeBody)) {
                String length = RawHttpMessage.header(head, "content-length");
                connection.readBytes(length == null ? 0 : Integer.parseInt(length));
            }
            String id = String.valueOf(RawHttpMessage.header(head, "x-trace-id"));
            receivedRequests.add(new ReceivedRequest(id, System.nanoTime(), expiresInSeconds(head), step));
            if (step.executesRequest()) {
                executionsById.merge(id, 1, Integer::sum);
            }
            if (!perform(connection, step)) {
                return;
            }
        }
        // The client has closed its side; left open, each connection would cost a descriptor until the test ends.
        connection.close();
    }

    private static double expiresInSeconds(String head) {
        String value = RawHttpMessage.header(head, "x-expires-in");
        return value == null ? Double.POSITIVE_INFINITY : Double.parseDouble(value);
    }

    /** Performs a step and returns whether to read further requests on the connection. */
    private boolean perform(TestConnection connection, Step step) throws Exception {
        if (step instanceof DelayedStep delayed) {
            // The scripted processing time; closing the server ends it early.
            closed.await(delayed.millis, TimeUnit.MILLISECONDS);
            return perform(connection, delayed.step);
        } else if (step instanceof FullResponse response) {
            connection.write(responseHead(200, response.body.length()) + response.body);
        } else if (step instanceof Rejection) {
            connection.write("HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        } else if (step instanceof ErrorStatus error) {
            connection.write(responseHead(error.status, 0));
        } else if (step instanceof StalledResponse stalled) {
            connection.write(
                    responseHead(200, stalled.body.length()) + stalled.body.substring(0, stalled.body.length() / 2));
            closed.await();
        } else if (step instanceof MalformedResponse malformed) {
            connection.write(malformed.rawResponse.getBytes(StandardCharsets.ISO_8859_1));
        } else if (step instanceof NoResponse) {
            closed.await();
        } else {
            connection.reset();
            return false;
        }
        return true;
    }

    private static String responseHead(int status, int length) {
        return "HTTP/1.1 " + status + " x\r\nContent-Length: " + length + "\r\n\r\n";
    }

    /** Returns the server's name. */
    public String name() {
        return name;
    }

    /** Returns the host and port on which the server listens. */
    public String address() {
        return server.address();
    }

    /** Returns how often the request with this id was executed. */
    public int executionCount(String id) {
        return executionsById.getOrDefault(id, 0);
    }

    /** Returns all received requests, in order of arrival. */
    public List<ReceivedRequest> receivedRequests() {
        return List.copyOf(receivedRequests);
    }

    /** Returns the maximum number of connections accepted within any {@code millis} milliseconds. */
    public int peakConnections(long millis) {
        List<Long> acceptedAt = server.acceptTimes();
        int peak = 0;
        for (int windowStart = 0, windowEnd = 0; windowEnd < acceptedAt.size(); windowEnd++) {
            while (acceptedAt.get(windowEnd) - acceptedAt.get(windowStart) > millis * 1_000_000) {
                windowStart++;
            }
            peak = Math.max(peak, windowEnd - windowStart + 1);
        }
        return peak;
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        server.close();
    }
}

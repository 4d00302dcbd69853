package weldhitch.testkit.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldhitch.testkit.ScriptedHttpServer;
import weldhitch.testkit.fleet.LoadGenerator.Completion;
import weldhitch.testkit.fleet.LoadGenerator.RequestRecord;

/**
 * Checks the invariants of many nodes against the records of clients and servers. Immutable; reads the records at
 * each call.
 */
public final class InvariantChecker {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final FaultInjector faultInjector;
    private final List<ScriptedHttpServer> servers;
    /** {@link System#nanoTime} at which the event log was created; converts the servers' times to the log's clock. */
    private final long eventLogStart;

    /**
     * Creates a checker.
     *
     * @param eventLog the event log whose clock the recorded requests and faults use
     */
    public InvariantChecker(EventLog eventLog, FaultInjector faultInjector, List<ScriptedHttpServer> servers) {
        this.faultInjector = faultInjector;
        this.servers = servers;
        eventLogStart = System.nanoTime() - eventLog.elapsedNanos();
    }

    /**
     * Returns the violations of two invariants: each request gets one final response in time, and no non-idempotent
     * request is executed twice, or rejected after it was executed. A node that was killed or suspended while the
     * request was in flight, or at most 50 ms before or after that, is excused from responding, but its executions are
     * checked all the same.
     *
     * @param timeoutMillis the clients' timeout in milliseconds
     * @param graceMillis tolerance after the timeout for the arrival of a response, in milliseconds
     */
    public List<String> violations(List<RequestRecord> requests, long timeoutMillis, long graceMillis) {
        List<String> violations = new ArrayList<>();
        for (RequestRecord request : requests) {
            boolean excused = faultInjector.wasAffected(
                    request.node(), request.sentAt() - 50 * NANOS_PER_MILLI, request.endedAt() + 50 * NANOS_PER_MILLI);
            if (!excused
                    && (request.completion() == Completion.TIMED_OUT
                            || request.completion() == Completion.CONNECTION_BROKEN)) {
                violations.add(request.id() + ": no complete response, " + request);
            }
            if (request.completion() == Completion.EXTRA_RESPONSE) {
                violations.add(request.id() + ": bytes after its final response");
            }
            if (!excused
                    && request.completion() == Completion.RESPONDED
                    && request.endedAt() - request.sentAt() > (timeoutMillis + graceMillis) * NANOS_PER_MILLI) {
                violations.add(request.id() + ": response arrived after "
                        + (request.endedAt() - request.sentAt()) / NANOS_PER_MILLI + " ms");
            }
            int executions = servers.stream()
                    .mapToInt(server -> server.executionCount(request.id()))
                    .sum();
            if (request.unsafe() && executions > 1) {
                violations.add(request.id() + ": non-idempotent and executed " + executions + " times");
            }
            if (request.unsafe() && request.isRejected() && executions > 0) {
                violations.add(request.id() + ": rejected with status " + request.status() + " but executed");
            }
            if (!excused && request.completion() == Completion.STALE_CONNECTION && executions > 0) {
                violations.add(request.id() + ": connection closed without a response, but executed");
            }
            if (request.status() == 200 && executions == 0) {
                violations.add(request.id() + ": responded with status 200 but never executed");
            }
        }
        return violations;
    }

    /**
     * Returns the requests that a server received more than {@code toleranceMillis} after their client had
     * disconnected, one line each. A node that was suspended in between is not excused; a request is excused if its
     * link was affected by a fault, because the link may have delayed it after the node had sent it.
     */
    public List<String> requestsAfterDisconnect(List<RequestRecord> requests, long toleranceMillis) {
        List<String> violations = new ArrayList<>();
        forEachReceived(requests, (server, received, request) -> {
            long receivedAt = received.receivedAtNanos() - eventLogStart;
            if (request.completion() == Completion.DISCONNECTED
                    && receivedAt - request.endedAt() > toleranceMillis * NANOS_PER_MILLI
                    && !linkWasAffected(request, server, receivedAt)) {
                violations.add(request.id() + ": sent to " + server.name() + " "
                        + (receivedAt - request.endedAt()) / NANOS_PER_MILLI + " ms after its client disconnected");
            }
        });
        return violations;
    }

    /**
     * Returns the requests whose remaining time, as stated to a server, exceeds the time that their client still waits
     * by more than {@code toleranceMillis}, one line each. A request is excused if its link was affected by a fault,
     * because the link may have delayed it; a node that was suspended is not excused.
     */
    public List<String> overstatedTimeouts(List<RequestRecord> requests, long toleranceMillis) {
        List<String> violations = new ArrayList<>();
        forEachReceived(requests, (server, received, request) -> {
            long receivedAt = received.receivedAtNanos() - eventLogStart;
            double excessMillis = received.expiresInSeconds() * 1000
                    + (receivedAt - request.sentAt()) / (double) NANOS_PER_MILLI
                    - request.timeoutMillis();
            if (excessMillis > toleranceMillis && !linkWasAffected(request, server, receivedAt)) {
                violations.add(request.id() + ": " + server.name() + " was sent a remaining time "
                        + Math.round(excessMillis) + " ms longer than its client still waited");
            }
        });
        return violations;
    }

    private boolean linkWasAffected(RequestRecord request, ScriptedHttpServer server, long receivedAt) {
        return faultInjector.wasAffected(request.node() + ">" + server.name(), request.sentAt(), receivedAt);
    }

    /** Processes a request that a server received, together with the client's record of it. */
    private interface ReceivedRequestConsumer {
        void accept(ScriptedHttpServer server, ScriptedHttpServer.ReceivedRequest received, RequestRecord request);
    }

    private void forEachReceived(List<RequestRecord> requests, ReceivedRequestConsumer consumer) {
        Map<String, RequestRecord> requestsById = new HashMap<>();
        requests.forEach(request -> requestsById.put(request.id(), request));
        for (ScriptedHttpServer server : servers) {
            for (ScriptedHttpServer.ReceivedRequest received : server.receivedRequests()) {
                RequestRecord request = requestsById.get(received.id());
                if (request != null) {
                    consumer.accept(server, received, request);
                }
            }
        }
    }

    /**
     * Returns the requests that a server received from a node more than {@code graceMillis} after the node was notified
     * that the endpoint is draining, one line each. A request is excused if its node was killed or suspended at any
     * time between the notification and the receipt; a fault of a link does not excuse it.
     */
    public List<String> requestsAfterDrain(
            CapacityLimitedDiscovery discovery, List<String> nodeNames, long graceMillis) {
        List<String> violations = new ArrayList<>();
        for (ScriptedHttpServer server : servers) {
            for (ScriptedHttpServer.ReceivedRequest received : server.receivedRequests()) {
                String node = received.id().replaceFirst("-.*", "");
                Long notifiedAt = nodeNames.contains(node) ? discovery.drainNotifiedAt(node, server.name()) : null;
                long receivedAt = received.receivedAtNanos() - eventLogStart;
                if (notifiedAt != null
                        && receivedAt - notifiedAt > graceMillis * NANOS_PER_MILLI
                        && !faultInjector.wasAffected(node, notifiedAt, receivedAt)) {
                    violations.add(received.id() + ": sent to " + server.name() + " "
                            + (receivedAt - notifiedAt) / NANOS_PER_MILLI + " ms after " + node
                            + " was notified of the drain");
                }
            }
        }
        return violations;
    }

    /**
     * Checks the slow-start invariant: in no window of {@code windowMillis} that starts during the slow start does the
     * server receive more requests, from all nodes together, than {@code N + 3 sqrt(N) + 3}. N is
     * {@code allowedMultiple} times the number of requests that the server can serve within the window at the capacity
     * that it has at the start of the window.
     *
     * @param startedAt when the server started, in nanoseconds on the event log's clock
     * @param warmRatePerSecond the server's capacity once warm, in requests per second
     * @param initialFraction the server's capacity at its start as a fraction of the warm capacity; the fraction grows
     *     linearly to 1 over {@code slowStartMillis}
     * @param slowStartMillis how long the server warms up, in milliseconds
     * @return the first violation, or an empty list
     */
    public List<String> slowStartOverloads(
            ScriptedHttpServer server,
            long startedAt,
            double warmRatePerSecond,
            double initialFraction,
            long slowStartMillis,
            double allowedMultiple,
            long windowMillis) {
        long[] callTimes = server.receivedRequests().stream()
                .mapToLong(received -> received.receivedAtNanos() - eventLogStart)
                .sorted()
                .toArray();
        for (int windowStart = 0; windowStart < callTimes.length; windowStart++) {
            int windowEnd = windowStart;
            while (windowEnd < callTimes.length
                    && callTimes[windowEnd] - callTimes[windowStart] <= windowMillis * NANOS_PER_MILLI) {
                windowEnd++;
            }
            double ageMillis = (callTimes[windowStart] - startedAt) / 1e6;
            if (ageMillis > slowStartMillis) {
                break;
            }
            double capacity = warmRatePerSecond
                    * (initialFraction + (1 - initialFraction) * Math.max(0, ageMillis) / slowStartMillis);
            double allowedCalls = allowedMultiple * capacity * windowMillis / 1000;
            if (windowEnd - windowStart > allowedCalls + 3 * Math.sqrt(allowedCalls) + 3) {
                return List.of(server.name() + ": " + (windowEnd - windowStart) + " requests within " + windowMillis
                        + " ms, " + Math.round(ageMillis) + " ms after its start, allowed without slack: "
                        + allowedCalls);
            }
        }
        return List.of();
    }
}

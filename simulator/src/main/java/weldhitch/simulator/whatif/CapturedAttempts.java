package weldhitch.simulator.whatif;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * The attempts of a contiguous segment of a capture, each with the number of attempts that this node had in flight
 * at its server when it was sent. Built once by the server model and not modified afterwards. Times are in
 * nanoseconds.
 */
final class CapturedAttempts {
    /** Length of the windows in which the behaviour of a server is assumed to be constant, in nanoseconds. */
    static final long WINDOW_NANOS = 1_000_000_000L;

    /** One attempt. {@code outcome} is null if the attempt was still in flight when the segment ended. */
    static final class CapturedAttempt {
        final String endpointId;
        final String requestClass;
        final long sentAt;
        /** Attempts of this node in flight at the server, including this one. */
        final int concurrency;
        /** Whether it was sent within the segment. */
        final boolean sentInSegment;

        long duration;
        AttemptOutcome outcome;

        CapturedAttempt(String endpointId, String requestClass, long sentAt, int concurrency, boolean sentInSegment) {
            this.endpointId = endpointId;
            this.requestClass = requestClass;
            this.sentAt = sentAt;
            this.concurrency = concurrency;
            this.sentInSegment = sentInSegment;
        }
    }

    /** The attempts in flight at one server over time, as attempts times nanoseconds for each window. */
    private static final class EndpointLoad {
        final TreeMap<Long, Double> attemptNanosByWindow = new TreeMap<>();
        int outstanding;
        long updatedAt;

        void adjust(int delta, long now) {
            while (updatedAt < now) {
                long window = Math.floorDiv(updatedAt, WINDOW_NANOS);
                long intervalEnd = Math.min(now, (window + 1) * WINDOW_NANOS);
                if (outstanding > 0) {
                    attemptNanosByWindow.merge(window, (double) outstanding * (intervalEnd - updatedAt), Double::sum);
                }
                updatedAt = outstanding > 0 ? intervalEnd : now;
            }
            outstanding = Math.max(0, outstanding + delta);
        }
    }

    final List<CapturedAttempt> attempts = new ArrayList<>();
    private final Map<String, EndpointLoad> loadByEndpoint = new LinkedHashMap<>();
    private final Map<String, String> classByRequest = new LinkedHashMap<>();
    private final Map<String, List<CapturedAttempt>> attemptsByRequest = new LinkedHashMap<>();
    private final long segmentStart;
    private long segmentEnd;

    CapturedAttempts(ContiguousSegment segment) {
        segmentStart = segment.startRecord().timestamp();
        BalancerSnapshot snapshot = segment.startRecord().snapshot();
        for (BalancerSnapshot.RequestSnapshot request : snapshot.requests()) {
            classByRequest.put(request.id(), request.requestClass());
            for (BalancerSnapshot.AttemptSnapshot attempt : request.attempts()) {
                String endpointId = snapshot.endpoints().get(attempt.endpoint()).id();
                CapturedAttempt earlierAttempt =
                        new CapturedAttempt(endpointId, request.requestClass(), attempt.sentAt(), 0, false);
                if (attempt.ended()) {
                    earlierAttempt.outcome = AttemptOutcome.NOT_SENT;
                } else {
                    loadOf(endpointId).adjust(1, segmentStart);
                }
                attemptsByRequest
                        .computeIfAbsent(request.id(), r -> new ArrayList<>())
                        .add(earlierAttempt);
            }
        }
        segment.events().forEach(this::onEvent);
        loadByEndpoint.values().forEach(load -> load.adjust(0, segmentEnd));
    }

    private EndpointLoad loadOf(String endpointId) {
        return loadByEndpoint.computeIfAbsent(endpointId, s -> {
            EndpointLoad load = new EndpointLoad();
            load.updatedAt = segmentStart;
            return load;
        });
    }

    private void onEvent(CaptureEntry.EventRecord eventRecord) {
        segmentEnd = Math.max(segmentStart, eventRecord.timestamp());
        if (eventRecord.event() instanceof RequestArrived arrival) {
            classByRequest.putIfAbsent(arrival.requestId(), arrival.requestClass());
        } else if (eventRecord.event() instanceof AttemptEnded ended) {
            List<CapturedAttempt> requestAttempts = attemptsByRequest.getOrDefault(ended.requestId(), List.of());
            if (ended.attempt() >= 0
                    && ended.attempt() < requestAttempts.size()
                    && requestAttempts.get(ended.attempt()).outcome == null) {
                CapturedAttempt attempt = requestAttempts.get(ended.attempt());
                attempt.outcome = ended.outcome();
                attempt.duration = Math.max(0, eventRecord.timestamp() - attempt.sentAt);
                loadOf(attempt.endpointId).adjust(-1, eventRecord.timestamp());
                if (ended.requestFinished() && requestAttempts.stream().noneMatch(earlier -> earlier.outcome == null)) {
                    attemptsByRequest.remove(ended.requestId());
                    classByRequest.remove(ended.requestId());
                }
            }
        }
        for (BalancerAction action : eventRecord.actions()) {
            if (action instanceof SendAttempt send) {
                EndpointLoad load = loadOf(send.endpointId());
                load.adjust(1, eventRecord.timestamp());
                CapturedAttempt attempt = new CapturedAttempt(
                        send.endpointId(),
                        classByRequest.get(send.requestId()),
                        eventRecord.timestamp(),
                        load.outstanding,
                        true);
                attemptsByRequest
                        .computeIfAbsent(send.requestId(), r -> new ArrayList<>())
                        .add(attempt);
                attempts.add(attempt);
            }
        }
    }

    /** Returns the mean number of attempts in flight at the server in the window that contains this time. */
    double meanOutstanding(String endpointId, long at) {
        long window = Math.floorDiv(at, WINDOW_NANOS);
        EndpointLoad load = loadByEndpoint.get(endpointId);
        double coveredNanos =
                Math.min(segmentEnd, (window + 1) * WINDOW_NANOS) - Math.max(segmentStart, window * WINDOW_NANOS);
        return load == null || coveredNanos <= 0
                ? 0
                : load.attemptNanosByWindow.getOrDefault(window, 0.0) / coveredNanos;
    }
}

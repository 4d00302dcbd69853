package weldhitch.node;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import weldhitch.decision.settings.Idempotency;

/**
 * The in-flight requests of a node by id, the number of those without a final answer, and the ids of ended requests
 * that must not be executed again. Owned by
 * {@link Dispatcher}; not thread-safe, confined to the event loop.
 */
final class InFlightRequests {
    /** The requests by id; the iteration order is the order in which they are answered when the process ends. */
    private final Map<String, InFlightRequest> byId = new HashMap<>();

    private final ExecutedRequestIds executed = new ExecutedRequestIds();
    private final Clock clock;
    private int unanswered;

    InFlightRequests(Clock clock) {
        this.clock = clock;
    }

    void add(InFlightRequest inFlight) {
        byId.put(inFlight.request.id(), inFlight);
        unanswered++;
    }

    /** Returns the request of this id, or null if it is not in flight. */
    InFlightRequest get(String id) {
        return byId.get(id);
    }

    /** Returns whether the request must not be sent, as one of its id is in flight or was perhaps executed. */
    boolean isDuplicate(ClientRequest request) {
        return byId.containsKey(request.id()) || !isRepeatable(request) && executed.contains(request.id());
    }

    private static boolean isRepeatable(ClientRequest request) {
        return request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
    }

    Collection<InFlightRequest> all() {
        return byId.values();
    }

    /** Returns the number of requests that still wait for their final answer. */
    int unanswered() {
        return unanswered;
    }

    /** Marks the request as answered; returns false if it already was. */
    boolean markFinished(InFlightRequest inFlight) {
        if (inFlight.finished) {
            return false;
        }
        inFlight.finished = true;
        inFlight.watchdog.cancel(false);
        unanswered--;
        return true;
    }

    /** Removes a finished request without outstanding attempts and releases its body; returns false if it must stay. */
    boolean removeIfComplete(InFlightRequest inFlight) {
        if (inFlight.finished && inFlight.attemptsInFlight == 0 && byId.remove(inFlight.request.id(), inFlight)) {
            if (!isRepeatable(inFlight.request) && inFlight.mayHaveBeenExecuted()) {
                executed.add(inFlight.request.id(), clock.now());
            }
            inFlight.request.release();
            return true;
        }
        return false;
    }
}

package weldhitch.node;

import weldhitch.decision.endpoint.AttemptOutcome;

/** Receives the progress of attempts, on the event loop; implemented by {@link Dispatcher}. */
interface AttemptListener {
    /**
     * Whether an attempt that is about to begin is still wanted: its request has no answer yet, and its client is
     * connected at this moment.
     */
    boolean isAwaited(Attempt attempt);

    /** An attempt has ended; {@code response} is the completely buffered response of an OK, or null. */
    void ended(Attempt attempt, AttemptOutcome outcome, ServerResponse response);

    /**
     * A response that is streamed has started. Returns where to stream it, or null if the request already has
     * its final answer.
     */
    StreamSink openStream(Attempt attempt);
}

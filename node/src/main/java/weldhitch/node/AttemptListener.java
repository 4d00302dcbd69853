package weldhitch.node;

import weldhitch.decision.endpoint.AttemptOutcome;

/** Receives the progress of attempts on the event loop; implemented by {@link Dispatcher}. */
interface AttemptListener {
    /**
     * Returns whether an attempt that is about to start is still needed: its request has no answer yet and its client
     * is connected at this moment.
     */
    boolean isAwaited(Attempt attempt);

    /** Called when an attempt has ended; {@code response} is the completely buffered response of a success, or null. */
    void ended(Attempt attempt, AttemptOutcome outcome, ServerResponse response);

    /**
     * Called when the response of an attempt starts to be streamed. Returns the sink to stream it to, or null if the
     * request already has its final answer.
     */
    StreamSink openStream(Attempt attempt);
}

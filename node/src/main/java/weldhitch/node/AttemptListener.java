package weldhitch.node;

import weldhitch.decision.Balancing.Outcome;

/** Hears what becomes of attempts. */
interface AttemptListener {
    /** The end of an attempt; {@code answer} is the whole body of an OK that was held back until now, or null. */
    void ended(Attempt attempt, Outcome outcome, ServerAnswer answer);

    /**
     * A server's answer that is passed on as it comes has begun: where it goes, or null where the request has its
     * final answer already.
     */
    StreamSink streamBegins(Attempt attempt);
}

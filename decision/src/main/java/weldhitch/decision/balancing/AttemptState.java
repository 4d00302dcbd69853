package weldhitch.decision.balancing;

/** The state of one attempt of a request. Times are nanoseconds. Mutable; owned by the balancer's thread. */
final class AttemptState {
    final RequestState request;
    final Endpoint endpoint;
    final int number;
    final long sentAt;
    boolean ended;
    boolean notExecuted;
    /** Whether the attempt took longer than the hedge delay of its request class, so that a hedged request was due. */
    boolean exceededHedgeDelay;
    /** Whether the retry token for the next attempt was taken in advance, because this one is abandoned on timeout. */
    boolean retryTokenReserved;
    /** Whether the response has started to arrive, which makes it the final response of the request. */
    boolean streaming;

    AttemptState(RequestState request, Endpoint endpoint, int number, long sentAt) {
        this.request = request;
        this.endpoint = endpoint;
        this.number = number;
        this.sentAt = sentAt;
    }
}

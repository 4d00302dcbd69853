package weldhitch.decision.balancing;

/** The state of one attempt of a request. Times are nanoseconds. Mutable, owned by the balancer's thread. */
final class AttemptState {
    final RequestState request;
    final Endpoint endpoint;
    final int number;
    final long sentAt;
    boolean ended;
    boolean notExecuted;
    /** Whether it took longer than the hedge delay, so that a hedged request was due. */
    boolean exceededHedgeDelay;
    /** Whether the retry token of its successor was taken in advance, as it is abandoned at its timeout. */
    boolean retryTokenReserved;
    /** Whether its answer has started, which makes it the final one. */
    boolean streaming;

    AttemptState(RequestState request, Endpoint endpoint, int number, long sentAt) {
        this.request = request;
        this.endpoint = endpoint;
        this.number = number;
        this.sentAt = sentAt;
    }
}

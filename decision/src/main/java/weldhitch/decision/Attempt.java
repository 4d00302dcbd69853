package weldhitch.decision;

/** The state of one attempt of a request. Times are nanoseconds. Mutable, owned by the balancer's thread. */
final class Attempt {
    final Request request;
    final Upstream server;
    final int number;
    final long sentAt;
    boolean ended;
    boolean neverRan;
    /** Whether it took longer than the hedge delay, so that a hedged request was due. */
    boolean overstayed;
    /** Whether the retry token of its successor was taken in advance, as it is abandoned at its timeout. */
    boolean successorPaid;
    /** Whether its answer has started, which makes it the final one. */
    boolean streaming;

    Attempt(Request request, Upstream server, int number, long sentAt) {
        this.request = request;
        this.server = server;
        this.number = number;
        this.sentAt = sentAt;
    }
}

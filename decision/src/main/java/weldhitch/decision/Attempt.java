package weldhitch.decision;

/** One attempt of a request. Times are nanoseconds. */
final class Attempt {
    final Request request;
    final Upstream server;
    final int number;
    final long sentAt;
    boolean ended;
    boolean neverRan;
    /** A further one was sent because this one took too long. */
    boolean overstayed;
    /** What a further one costs has been put aside, as this one is given up when it takes too long. */
    boolean successorPaid;
    /** Its answer has begun, and is the final one. */
    boolean streaming;

    Attempt(Request request, Upstream server, int number, long sentAt) {
        this.request = request;
        this.server = server;
        this.number = number;
        this.sentAt = sentAt;
    }
}

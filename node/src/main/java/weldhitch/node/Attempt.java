package weldhitch.node;

import io.netty.util.concurrent.Future;

/** One sending of a request to a server. It ends exactly once, by {@link AttemptListener#ended}. */
final class Attempt {
    /** What carries the attempt: a dial or a connection. */
    interface Carrier {
        /** The attempt is given up by its owner, who says how it ended. */
        void abandon();
    }

    final CallerRequest request;
    final int number;
    final String server;
    final long sentAt;
    final long until;
    Future<?> timer;
    Carrier carrier;
    /** The operating system has the request's last byte: from here on the server may run it. */
    boolean written;
    boolean streaming;
    boolean ended;
    /** It is certain that it never ran. */
    boolean neverRan;
    /** Until when servers discard it where an earlier attempt has run; the most there is where none may have. */
    final long repeatUntil;

    Attempt(CallerRequest request, int number, String server, long sentAt, long until, long repeatUntil) {
        this.request = request;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
        this.until = until;
        this.repeatUntil = repeatUntil;
    }
}

package weldhitch.node;

import java.util.Locale;

/** What a node does to a request or a connection that an operator may have to account for; see {@link NodeEventLog}. */
enum NodeEvent {
    /** A request was answered with a promise of no effect; the reason is a {@link Rejection}. */
    REQUEST_REJECTED,
    /** A request was answered as failed, without such a promise. */
    REQUEST_FAILED,
    /** A client disconnected while its request waited for the answer. */
    CLIENT_DISCONNECTED,
    /** The node closed a client's connection. */
    CLIENT_CLOSED,
    /** An attempt was not begun that the balancer had decided on; the reason is the dispatch guard's verdict. */
    ATTEMPT_NOT_SENT,
    /** A further attempt was begun after one that had ended; the reason is the outcome of that one. */
    RETRY_SENT,
    /** A further attempt was begun while another was in flight. */
    HEDGED_REQUEST_SENT,
    /** An idle server connection was not reused, as it had ended or carried bytes that answer nothing. */
    SERVER_CONNECTION_DISCARDED;

    /** Why the node closed a client's connection. */
    enum Close {
        IDLE,
        REQUEST_TIMEOUT,
        MALFORMED,
        PIPELINING_LIMIT,
        LINGERING,
        UNREAD_RESPONSE
    }

    /** The name of an event, as log lines write it. */
    static String toPhrase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** The name of a reason, as log lines write it: one token. */
    static String toToken(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}

package weldhitch.node;

import java.util.Locale;

/** An event of a request or a connection that an operator may have to explain; see {@link NodeEventLog}. */
enum NodeEvent {
    /** A request was answered as not executed; the reason is a {@link Rejection}. */
    REQUEST_REJECTED,
    /** A request was answered as failed; it may have been executed. */
    REQUEST_FAILED,
    /** A client disconnected while its request waited for the answer. */
    CLIENT_DISCONNECTED,
    /** Input of a client waits for the next poll, because it has sent many requests at once. */
    CLIENT_INPUT_DEFERRED,
    /** The node closed a client's connection. */
    CLIENT_CLOSED,
    /** An attempt that the balancer had decided on was not sent; the reason is the verdict of the dispatch guard. */
    ATTEMPT_NOT_SENT,
    /** A further attempt was sent after one that had ended; the reason is the outcome of the ended attempt. */
    RETRY_SENT,
    /** A further attempt was sent while another was in flight. */
    HEDGED_REQUEST_SENT,
    /** An idle server connection was not reused because it had ended or carried bytes that belong to no response. */
    SERVER_CONNECTION_DISCARDED;

    /** The reason why the node closed a client's connection. */
    enum Close {
        IDLE,
        REQUEST_TIMEOUT,
        MALFORMED,
        /** The request line, a head or its number of fields exceeds the limit. */
        HEAD_TOO_LARGE,
        /** A head does not fit into the memory limit. */
        MEMORY_LIMIT,
        PIPELINING_LIMIT,
        LINGERING,
        UNREAD_RESPONSE
    }

    /** Returns the name of an event as log lines contain it. */
    static String toPhrase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** Returns the name of a reason as log lines contain it, as one token. */
    static String toToken(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}

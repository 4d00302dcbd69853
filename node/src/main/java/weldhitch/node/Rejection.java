package weldhitch.node;

import io.netty.handler.codec.http.HttpResponseStatus;

/** The reason for rejecting a request that has not been forwarded, either by the balancer or by the node itself. */
enum Rejection {
    /** The balancer sheds load. */
    ADMISSION(HttpResponseStatus.SERVICE_UNAVAILABLE, false),
    /** Too many clients have requests in flight. */
    CLIENT_LIMIT(HttpResponseStatus.SERVICE_UNAVAILABLE, true),
    /** Memory for request bodies is exhausted. */
    MEMORY_LIMIT(HttpResponseStatus.SERVICE_UNAVAILABLE, false),
    /** The client sends so much that the node cannot tell whether it is still connected. */
    UNREAD_INPUT(HttpResponseStatus.SERVICE_UNAVAILABLE, true),
    /** The body exceeds the maximum length. */
    BODY_TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, false),
    /** The client's timeout had passed before the request was read. */
    DEADLINE_EXCEEDED(HttpResponseStatus.SERVICE_UNAVAILABLE, false),
    /** This node shuts down too soon to answer the request; another node may still answer it. */
    SHUTTING_DOWN(HttpResponseStatus.SERVICE_UNAVAILABLE, true),
    /** The node is fenced, or the route version that applies to the request is in doubt. */
    VERSION_IN_DOUBT(HttpResponseStatus.SERVICE_UNAVAILABLE, false),
    /** Another request with the same id is in flight, or was perhaps executed and is not idempotent. */
    DUPLICATE_ID(HttpResponseStatus.BAD_REQUEST, false);

    private final HttpResponseStatus status;
    private final boolean closesConnection;

    Rejection(HttpResponseStatus status, boolean closesConnection) {
        this.status = status;
        this.closesConnection = closesConnection;
    }

    HttpResponseStatus status() {
        return status;
    }

    /** Returns whether the connection closes, so that the client reconnects elsewhere. */
    boolean closesConnection() {
        return closesConnection;
    }
}

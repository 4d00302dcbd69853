package weldhitch.node;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Why a request was rejected that has not been forwarded: by the balancer, or by the node before that. */
enum Rejection {
    /** The balancer sheds load. */
    ADMISSION(HttpResponseStatus.SERVICE_UNAVAILABLE, false),
    /** Too many clients have requests in flight. */
    CLIENT_LIMIT(HttpResponseStatus.SERVICE_UNAVAILABLE, true),
    /** Memory for request bodies is exhausted. */
    MEMORY_LIMIT(HttpResponseStatus.SERVICE_UNAVAILABLE, false),
    /** The body is longer than any that is accepted. */
    BODY_TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, false),
    /** The client's time had passed before the request was read. */
    DEADLINE_EXCEEDED(HttpResponseStatus.SERVICE_UNAVAILABLE, false),
    /** This node shuts down too soon to serve it; another one has the time. */
    SHUTTING_DOWN(HttpResponseStatus.SERVICE_UNAVAILABLE, true),
    /** It is unknown which route version applies. */
    VERSION_IN_DOUBT(HttpResponseStatus.SERVICE_UNAVAILABLE, false),
    /** A request of this id is in flight. */
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

    /** Whether the client should go on elsewhere. */
    boolean closesConnection() {
        return closesConnection;
    }
}

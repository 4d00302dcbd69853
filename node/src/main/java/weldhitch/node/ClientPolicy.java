package weldhitch.node;

import weldhitch.decision.settings.RequestClass;

/**
 * Decides what the node currently accepts from its clients, depending on its load and on the progress of its graceful
 * shutdown. Used by {@link ClientConnection}; implemented by {@link ClientConnectionManager}. Not thread-safe,
 * confined to the event loop.
 */
interface ClientPolicy {
    /** Decides whether a request may be received; returns null if so, and otherwise the reason for its rejection. */
    Rejection admitHead();

    /** Returns whether the node is ready, as {@code GET /ready} reports it. */
    boolean ready();

    /** Returns whether a response written now asks its client to reconnect elsewhere ({@code Connection: close}). */
    boolean sendsConnectionClose();

    /** Returns the request class of this name, or null if there is none. */
    RequestClass requestClass(String name);

    /**
     * Decides whether a completely received request may be dispatched. If so, reduces the request's timeout to the time
     * that is left and returns null; otherwise returns the reason for its rejection.
     */
    Rejection admit(InFlightRequest request);
}

package weldhitch.node;

import weldhitch.decision.settings.RequestClass;

/**
 * What a node currently grants its clients, by its load and its shutdown. Asked by each {@link ClientConnection};
 * implemented by {@link ClientConnectionManager}. Not thread-safe, confined to the event loop.
 */
interface ClientPolicy {
    /** Whether so many clients have requests in flight that a further request is rejected. */
    boolean overloaded();

    /** What {@code GET /ready} reports. */
    boolean ready();

    /** Whether a response written now asks its client to reconnect elsewhere ({@code Connection: close}). */
    boolean sendsConnectionClose();

    /** The request class of this name, or null. */
    RequestClass requestClass(String name);

    /**
     * Decides whether a completely received request may be dispatched, and if so, reduces its timeout to what it
     * may still take; returns why not, or null.
     */
    Rejection admit(InFlightRequest request);
}

package weldhitch.testkit;

/** Handles one accepted connection of a {@link Peer}, on a thread of its own. */
public interface Behaviour {
    /** Reads from and writes to the connection until it is done with it. */
    void serve(Wire wire) throws Exception;
}

package weldhitch.testkit;

/** Handles one accepted connection of a {@link ScriptedServer}, on a thread of its own. */
public interface ConnectionHandler {
    /** Reads from and writes to the connection until it is done with it. */
    void handle(TestConnection connection) throws Exception;
}

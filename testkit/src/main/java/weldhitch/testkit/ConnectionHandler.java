package weldhitch.testkit;

/** Handles one accepted connection of a {@link ScriptedServer}, on its own thread. */
public interface ConnectionHandler {
    /** Reads from and writes to the connection; the thread ends when this method returns. */
    void handle(TestConnection connection) throws Exception;
}

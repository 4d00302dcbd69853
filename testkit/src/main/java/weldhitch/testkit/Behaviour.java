package weldhitch.testkit;

/** What a test's server does with one connection. */
public interface Behaviour {
    void serve(Wire wire) throws Exception;
}

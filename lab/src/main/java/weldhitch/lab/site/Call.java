package weldhitch.lab.site;

/**
 * What a request asks of a server, the same at each attempt.
 *
 * @param requestClass null where it is not known
 * @param work in the model's own unit
 * @param elsewhere nanoseconds that it waits on others
 */
public record Call(String requestClass, double work, long elsewhere) {
}

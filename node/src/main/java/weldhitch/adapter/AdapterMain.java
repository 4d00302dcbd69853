package weldhitch.adapter;

import java.io.IOException;

/** Runs the balancer on the simulator's line protocol: events on standard input, actions on standard output. */
public final class AdapterMain {
    private AdapterMain() {}

    /** Processes batches until the input ends; exits with status 2 on a malformed line. */
    public static void main(String[] args) throws IOException {
        try {
            new Adapter(System.in, new java.io.FileOutputStream(java.io.FileDescriptor.out)).run();
        } catch (MalformedLineException e) {
            System.err.println(e.getMessage());
            System.exit(2);
        }
    }
}

package weldhitch;

import java.io.IOException;

/**
 * The entry point of the archive: {@code serve} runs the node, and {@code adapter} runs the same balancer on the
 * simulator's line protocol.
 */
public final class Main {
    private Main() {}

    /** Runs the command that the arguments name; exits with status 64 if they name none. */
    public static void main(String[] args) throws IOException {
        if (args.length == 3 && args[0].equals("serve") && args[1].equals("--operator")) {
            weldhitch.node.NodeService.main(java.nio.file.Path.of(args[2]));
            return;
        }
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> weldhitch.node.NodeService.main(null);
            case "adapter" -> weldhitch.adapter.AdapterMain.main(args);
            default -> {
                System.err.println("usage: weldhitch serve [--operator FILE] | adapter");
                System.exit(64);
            }
        }
    }
}

package weldhitch;

import java.io.IOException;

/** The one entry: the real node, or the same decisions on the simulator's wire. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> weldhitch.node.Node.main();
            case "adapter" -> weldhitch.wire.Main.main(args);
            default -> {
                System.err.println("usage: weldhitch serve | adapter");
                System.exit(64);
            }
        }
    }
}

package onyxpaddle;

import java.io.IOException;

/** The one entry: the real node, or the same decisions on the simulator's wire. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> onyxpaddle.node.Node.main();
            case "adapter" -> onyxpaddle.wire.Main.main(args);
            default -> {
                System.err.println("usage: weldlink serve | adapter");
                System.exit(64);
            }
        }
    }
}

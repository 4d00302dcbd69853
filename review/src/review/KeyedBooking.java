package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A booking with an idempotency key is sent by the client library through a node with three servers, which drop
 * repeats of a key for a second, all of them together. Disruption: the server that runs the booking resets the
 * connection instead of answering, once. Checks at the servers that the booking ran once.
 */
final class KeyedBooking {
    private static final long WINDOW_MILLIS = 1000;
    /** By so much longer than stated the stand-ins remember a key, so that only a clear breach counts. */
    private static final long WINDOW_SLACK_MILLIS = 200;

    private static final String KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private static final String CLASSES =
            """
            [{"name":"view-slots","effect":"read_like","group":"all","aimS":0.6,"deadlineS":1.5,"worth":3.0,"memorySpanS":1.0},
             {"name":"book-campaign","effect":"idempotency_key","group":"all","aimS":1.2,"deadlineS":3.0,"worth":9.0,"memorySpanS":1.0}]""";

    private static final String OPERATOR =
            """
            version = 1
            [class.book-campaign]
            attempts = 1
            retry-after = { min = "1200ms", max = "1500ms" }
            # end
            """;

    private final Lab lab;
    /** When the servers have first received each key; they share this memory. */
    private final Map<String, Long> firstReceivedAt = new HashMap<>();

    private int runs;
    private boolean resetDone;

    private KeyedBooking(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, lab -> new KeyedBooking(lab).run());
    }

    private int run() throws Exception {
        List<Server> servers = new ArrayList<>();
        try (Platform platform = new Platform()) {
            for (int i = 1; i <= 3; i++) {
                String name = "s-" + i;
                servers.add(new Server(request -> answer(name, request)));
                platform.put(name, servers.get(i - 1).port(), "kacyiru", "ready");
            }
            int nodePort = Lab.freePort();
            Path config = lab.folder.resolve("n1.json");
            Files.writeString(config, platform.nodeConfig("n1", nodePort, CLASSES, "kacyiru", 0, 1));
            Path operator = lab.folder.resolve("operator.toml");
            Files.writeString(operator, OPERATOR);
            lab.startNode("n1", config, operator);
            lab.require("n1 is ready", 30, () -> Lab.isReady(nodePort));
            Relay relay = new Relay(lab, nodePort, KEY);
            Process app = lab.start(
                    "app",
                    "exec java -cp review/target:client/target/weldhitch-client-0.1.0.jar:cli/target/weldhitch.jar"
                            + ":bench/target/weldhitch-bench.jar review.BookingApp 127.0.0.1:" + relay.port() + " " + KEY
                            + " " + WINDOW_MILLIS,
                    Map.of());
            if (!app.waitFor(40, TimeUnit.SECONDS)) {
                throw new IOException("the app did not end");
            }
            relay.close();
            Thread.sleep(1000);
            lab.noteLog("app", "");
            lab.noteLog("n1", "");
        } finally {
            for (Server server : servers) {
                server.close();
            }
        }
        lab.note("the booking ran " + runs + " times");
        return runs == 0 ? Lab.COULD_NOT_RUN : runs == 1 ? Lab.HELD : Lab.BROKEN;
    }

    private byte[] answer(String server, Server.Received request) throws Exception {
        String key = request.headers().get("idempotency-key");
        Thread.sleep(20);
        if (!KEY.equals(key)) {
            return Server.ok("booked");
        }
        synchronized (this) {
            long now = System.nanoTime();
            Long first = firstReceivedAt.get(key);
            String line = server + " received " + request.method() + " " + request.target() + " X-Trace-Id="
                    + request.id() + " Idempotency-Key=" + key
                    + (first == null ? "" : ", " + (now - first) / 1_000_000 + " ms after its first attempt");
            if (first != null && now - first < (WINDOW_MILLIS + WINDOW_SLACK_MILLIS) * 1_000_000) {
                lab.note(line + ": repeat dropped, answered as the first");
                return Server.ok("booked");
            }
            firstReceivedAt.put(key, now);
            runs++;
            lab.note(line + ": booked, run " + runs);
            if (lab.trouble && !resetDone) {
                resetDone = true;
                lab.note(server + " resets the connection instead of answering");
                return null;
            }
            return Server.ok("booked");
        }
    }
}

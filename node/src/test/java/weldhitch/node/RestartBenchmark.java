package weldhitch.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import weldhitch.testkit.ReservedPort;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/**
 * Measures planned restarts of the packaged node; run by hand. Measures the time from start to readiness, and from
 * SIGTERM to the close of the listener and to the end of the process, both with a client that keeps sending on one
 * connection and without load. docs/restarts-and-releases.md contains the command.
 */
final class RestartBenchmark {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private RestartBenchmark() {}

    /** Runs the measurement and prints the results; the argument is the number of restarts. */
    public static void main(String[] args) throws Exception {
        int restarts = args.length > 0 ? Integer.parseInt(args[0]) : 20;
        for (boolean underLoad : new boolean[] {true, false}) {
            List<Long> ready = new ArrayList<>();
            List<Long> closed = new ArrayList<>();
            List<Long> ended = new ArrayList<>();
            int answered = 0;
            for (int i = 0; i < restarts; i++) {
                answered += restart(underLoad, ready, closed, ended);
            }
            System.out.println((underLoad ? "one client sending" : "no client") + ", " + restarts
                    + " restarts, ms: start to ready "
                    + spread(ready) + ", SIGTERM to closed listener " + spread(closed) + ", to exit " + spread(ended)
                    + (underLoad ? ", responses after SIGTERM " + answered / restarts + " per restart" : ""));
        }
    }

    private static int restart(boolean underLoad, List<Long> ready, List<Long> closed, List<Long> ended)
            throws Exception {
        Path config = Files.createTempFile("restart", ".json");
        ScriptedServer server = ScriptedServer.respondingWith(m -> NodeHarness.ok("x"));
        ReservedPort reservedPort = new ReservedPort();
        int port = reservedPort.number();
        String hosts = NodeHarness.host("s", server.address());
        try (reservedPort;
                ScriptedServer discovery = NodeHarness.discovery(hosts)) {
            // Deadlines of at most 3 s and latency objectives of 1.2 s, as in the service that the node was built for.
            String json = new String(NodeHarness.config(discovery.address(), hosts, 1024, ""), StandardCharsets.UTF_8)
                    .replace("127.0.0.1:0", reservedPort.address())
                    .replace("\"aimS\":4.0", "\"aimS\":1.2")
                    .replace("\"deadlineS\":8.0", "\"deadlineS\":3.0");
            Files.writeString(config, json);
            ProcessBuilder run = PackagedNodeIT.run();
            run.environment().put("GW_CONFIG", config.toString());
            run.redirectError(ProcessBuilder.Redirect.DISCARD);
            long start = System.nanoTime();
            Process process = run.start();
            try {
                while (!isReady(port)) {
                    Thread.onSpinWait();
                }
                ready.add(elapsedMillis(start));
                int answered = 0;
                TestConnection connection = new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port));
                try {
                    connection.write(NodeHarness.get("0"));
                    connection.readMessage();
                    if (!underLoad) {
                        connection.close();
                    }
                    long terminatedAt = System.nanoTime();
                    process.destroy();
                    Thread listenerWatcher = TestSupport.startDaemon(() -> {
                        while (listens(port)) {
                            Thread.onSpinWait();
                        }
                        closed.add(elapsedMillis(terminatedAt));
                    });
                    for (String close = null; underLoad && close == null; answered++) {
                        connection.write(NodeHarness.get("n" + answered));
                        close = connection.readMessage().header("connection");
                    }
                    process.waitFor();
                    ended.add(elapsedMillis(terminatedAt));
                    listenerWatcher.join();
                } finally {
                    connection.close();
                }
                return answered;
            } finally {
                process.destroyForcibly();
            }
        } finally {
            Files.delete(config);
            server.close();
        }
    }

    private static long elapsedMillis(long start) {
        return (System.nanoTime() - start) / NANOS_PER_MILLI;
    }

    private static boolean isReady(int port) {
        try (TestConnection connection = new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port))) {
            connection.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            return connection.readMessage().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Returns whether the kernel's socket table contains the listener. The benchmark does not connect to find out,
     * because a connection would keep the node listening.
     */
    private static boolean listens(int port) throws IOException {
        String listening = "(?s).*:" + String.format("%04X", port) + " 0+:0000 0A.*";
        return Files.readString(Path.of("/proc/net/tcp")).matches(listening)
                || Files.readString(Path.of("/proc/net/tcp6")).matches(listening);
    }

    private static String spread(List<Long> millis) {
        Collections.sort(millis);
        return millis.get(0) + " to " + millis.get(millis.size() - 1) + " (median " + millis.get(millis.size() / 2)
                + ")";
    }
}

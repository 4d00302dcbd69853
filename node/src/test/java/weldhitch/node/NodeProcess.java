package weldhitch.node;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ReservedPort;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/**
 * Runs the packaged node as a process, with one server that responds as the request path requests and one endpoint
 * on whose port nothing listens. Used by one test thread; {@link #close} kills the process.
 */
final class NodeProcess implements Closeable {
    final Process process;
    final int port;
    private final BufferedReader log;
    private final Path config;
    private final ScriptedServer server;
    private final ScriptedServer discovery;
    /** A reserved port on which nothing listens. */
    private final ReservedPort closedPort = new ReservedPort();

    /**
     * Starts a node with the server and a discovery service of this object.
     *
     * @param change transforms the command in the deploy file
     */
    NodeProcess(UnaryOperator<String> change) throws Exception {
        server = ScriptedServer.respondingWith(NodeProcess::answer);
        String hosts = NodeHarness.host("s", server.address()) + "," + NodeHarness.host("gone", closedPort.address());
        discovery = NodeHarness.discovery(hosts);
        config = Files.createTempFile("weldhitch", ".json");
        Files.write(config, NodeHarness.config(discovery.address(), hosts, 1024, ""));
        process = run(change, config);
        log = process.errorReader(StandardCharsets.UTF_8);
        port = port();
    }

    /** Starts a node with the given configuration, whose servers and discovery service the caller owns. */
    NodeProcess(UnaryOperator<String> change, byte[] configuration) throws Exception {
        server = null;
        discovery = null;
        config = Files.createTempFile("weldhitch", ".json");
        Files.write(config, configuration);
        process = run(change, config);
        log = process.errorReader(StandardCharsets.UTF_8);
        port = port();
    }

    private static Process run(UnaryOperator<String> change, Path config) throws Exception {
        ProcessBuilder run = PackagedNodeIT.run();
        run.command().set(2, change.apply(run.command().get(2)));
        run.environment().put("GW_CONFIG", config.toString());
        return run.start();
    }

    private int port() throws IOException {
        String first = log.readLine();
        Matcher listens = Pattern.compile("listens on /127\\.0\\.0\\.1:(\\d+)").matcher(String.valueOf(first));
        if (!listens.find()) {
            close();
            throw new IOException("expected the first log line to contain the listening port, found: " + first);
        }
        return Integer.parseInt(listens.group(1));
    }

    private static String answer(RawHttpMessage request) {
        String line = request.firstLine();
        if (line.contains("full")) {
            return "HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
        }
        return line.contains("broken") ? "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n" : NodeHarness.ok("hello");
    }

    /** Returns the next line of the node's log; blocks until there is one. */
    String logLine() throws IOException {
        return log.readLine();
    }

    void hangUp() throws Exception {
        hangUp(process);
    }

    static void hangUp(Process process) throws Exception {
        signal(process, "HUP");
    }

    private static void signal(Process process, String signal) throws Exception {
        if (new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .start()
                        .waitFor()
                != 0) {
            throw new IOException("the signal could not be sent");
        }
    }

    /** Suspends the process with SIGSTOP and returns once all its threads have stopped. */
    void suspend() throws Exception {
        signal(process, "STOP");
        TestSupport.await(this::isSuspended);
    }

    /** Sends SIGTERM; a suspended process handles it once it is resumed. */
    void terminate() throws Exception {
        signal(process, "TERM");
    }

    /** Resumes a suspended process. */
    void resume() throws Exception {
        signal(process, "CONT");
    }

    private boolean isSuspended() {
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            return threads.allMatch(NodeProcess::isStopped);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns whether the state of a thread in {@code /proc} is T, stopped by a signal. */
    private static boolean isStopped(Path thread) {
        try {
            String status = Files.readString(thread.resolve("stat"));
            return status.charAt(status.lastIndexOf(')') + 2) == 'T';
        } catch (IOException e) {
            // The thread has ended.
            return true;
        }
    }

    /** Opens a connection to the node. */
    TestConnection connect() throws IOException {
        return new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    /**
     * Sends the kinds of requests that a node receives in its first second, reloads the configuration and shuts the
     * node down gracefully; returns once the process has ended.
     */
    void exercise() throws Exception {
        send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        for (int i = 0; i < 40; i++) {
            send(NodeHarness.get("g" + i));
            send(NodeHarness.post("p" + i, "body"));
            send(NodeHarness.feed("f" + i));
            send(NodeHarness.get("u" + i).replace("/read/x", "/read/full"));
            send(NodeHarness.get("b" + i).replace("/read/x", "/read/broken"));
            send(NodeHarness.get("n" + i).replace("/read/", "/nowhere/"));
            send(NodeHarness.get("t" + i).replace("8.000", "0.010"));
        }
        try (TestConnection disconnecting = new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port))) {
            disconnecting.write(NodeHarness.post("gone", "body"));
        }
        hangUp();
        send(NodeHarness.get("last"));
        process.destroy();
        process.waitFor();
    }

    RawHttpMessage send(String request) throws IOException {
        return send(port, request);
    }

    static RawHttpMessage send(int port, String request) throws IOException {
        try (TestConnection connection = new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port))) {
            connection.write(request);
            return connection.readMessage();
        }
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        log.close();
        closedPort.close();
        if (server != null) {
            server.close();
            discovery.close();
        }
        Files.delete(config);
    }
}

package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.NodeHarness.host;
import static weldhitch.node.NodeHarness.ok;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.testkit.ReservedPort;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestSupport;

/** Tests signals that arrive while a node is not yet ready for them; the test raises the signals. */
class SignalsTest {
    @TempDir
    Path dir;

    private ReservedPort port;

    @BeforeEach
    void reservePort() throws IOException {
        port = new ReservedPort();
    }

    @AfterEach
    void releasePort() throws IOException {
        port.close();
    }

    /**
     * Signals that the test raises, optionally as soon as their handler is installed, as if they had arrived in that
     * moment.
     */
    private static final class ManualSignals implements Signals {
        Runnable reload;
        Runnable terminate;
        boolean hangUpImmediately;
        boolean terminateImmediately;
        int port;
        /** Whether the node already listened when a handler was installed. */
        boolean listenedTooEarly;

        @Override
        public void onHangUp(Runnable handler) {
            reload = handler;
            listenedTooEarly |= canConnect();
            if (hangUpImmediately) {
                reload.run();
            }
        }

        @Override
        public void onTerminate(Runnable handler) {
            terminate = handler;
            listenedTooEarly |= canConnect();
            if (terminateImmediately) {
                terminate.run();
            }
        }

        boolean canConnect() {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                return socket.isConnected();
            } catch (IOException e) {
                return false;
            }
        }
    }

    private Map<String, String> environment(Path config, int port) {
        return Map.of("GW_CONFIG", config.toString(), "GW_LISTEN", "127.0.0.1:" + port);
    }

    /**
     * Regression: a signal that arrived after the listener was opened and before its handler was installed ended the
     * process, and the received requests were lost.
     */
    @Test
    void handlersAreInstalledBeforeAnybodyCanConnect() throws Exception {
        ManualSignals signals = new ManualSignals();
        signals.port = port.number();
        try (ScriptedServer server = ScriptedServer.respondingWith(m -> ok("x"));
                ScriptedServer discovery = NodeHarness.discovery(host("s", server.address()))) {
            Path config = Files.write(
                    dir.resolve("config"),
                    NodeHarness.config(discovery.address(), host("s", server.address()), 1024, ""));
            Node node = new NodeService(environment(config, signals.port), signals).start(null);
            assertFalse(signals.listenedTooEarly, "the node listened before its signal handlers were installed");
            assertTrue(signals.canConnect());
            node.stop();
        }
    }

    @Test
    void hangUpBeforeListeningReloadsOnceItListens() throws Exception {
        ManualSignals signals = new ManualSignals();
        signals.hangUpImmediately = true;
        signals.port = port.number();
        try (ScriptedDiscovery discovery = new ScriptedDiscovery()) {
            Path config = Files.write(dir.resolve("config"), NodeHarness.config("127.0.0.1:9", "", 1024, ""));
            Map<String, String> environment = Map.of(
                    "GW_CONFIG",
                    config.toString(),
                    "GW_LISTEN",
                    "127.0.0.1:" + signals.port,
                    "GW_DISCOVERY",
                    "127.0.0.1:9");
            NodeService service = new NodeService(environment, signals);
            Files.write(config, NodeHarness.config(discovery.server.address(), "", 1024, ""));
            Node node = service.start(null);
            discovery.awaitCall();
            node.stop();
        }
    }

    @Test
    void terminationBeforeListeningPreventsIt() throws Exception {
        ManualSignals signals = new ManualSignals();
        signals.terminateImmediately = true;
        signals.port = port.number();
        Path config = Files.write(dir.resolve("config"), NodeHarness.config("127.0.0.1:9", "", 1024, ""));
        new NodeService(environment(config, signals.port), signals).start(null);
        assertFalse(signals.canConnect());
    }

    /**
     * Regression: when each signal read the file on its own thread, an older file that was slow to read was applied
     * last.
     */
    @Test
    void newestConfigurationIsAppliedLast() throws Exception {
        ManualSignals signals = new ManualSignals();
        signals.port = port.number();
        try (ScriptedDiscovery older = new ScriptedDiscovery();
                ScriptedDiscovery newer = new ScriptedDiscovery()) {
            Path config = Files.write(dir.resolve("config"), NodeHarness.config("127.0.0.1:9", "", 1024, ""));
            Node node = new NodeService(environment(config, signals.port), signals).start(null);
            Files.delete(config);
            // Reading from a pipe blocks until another process or thread writes to it.
            assertEquals(
                    0, new ProcessBuilder("mkfifo", config.toString()).start().waitFor());
            Thread first = TestSupport.startDaemon(() -> signals.reload.run());
            try (OutputStream pipe = Files.newOutputStream(config)) {
                Files.delete(config);
                Files.write(config, NodeHarness.config(newer.server.address(), "", 1024, ""));
                Thread second = TestSupport.startDaemon(() -> signals.reload.run());
                second.join(TimeUnit.SECONDS.toMillis(TestSupport.TIMEOUT_SECONDS));
                pipe.write(new String(NodeHarness.config(older.server.address(), "", 1024, ""), StandardCharsets.UTF_8)
                        .getBytes(StandardCharsets.UTF_8));
            }
            first.join(TimeUnit.SECONDS.toMillis(TestSupport.TIMEOUT_SECONDS));
            newer.awaitCall();
            assertEquals(newer.server.address(), node.discoveryAddress());
            node.stop();
        }
    }
}

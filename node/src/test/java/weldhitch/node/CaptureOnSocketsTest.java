package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.testkit.ScriptedHttpServer.reject;
import static weldhitch.testkit.ScriptedHttpServer.resetAfterLastByte;
import static weldhitch.testkit.ScriptedHttpServer.respond;
import static weldhitch.testkit.ScriptedHttpServer.respondWithStatus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureFiles;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.replay.CaptureVerifier;
import weldhitch.replay.DecisionExplainer;
import weldhitch.replay.Replayer;
import weldhitch.testkit.ScriptedHttpServer;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestSupport;

/**
 * Tests captures of a live node whose servers reject, fail and reset requests. The captures are replayed, explained
 * and checked against the invariants.
 */
class CaptureOnSocketsTest {
    @TempDir
    Path directory;

    /** A node with a route configuration in front of three scripted servers. */
    private final class TestCluster implements Closeable {
        final List<ScriptedHttpServer> servers = new ArrayList<>();
        final Path file = directory.resolve("weldhitch.toml");
        final Path captureDirectory = directory.resolve("capture");
        final ScriptedServer discovery;
        final byte[] config;
        final NodeHarness node;
        int requestsSent;

        TestCluster(String capture) throws Exception {
            StringBuilder hosts = new StringBuilder();
            for (int i = 0; i < 3; i++) {
                servers.add(new ScriptedHttpServer("s" + i).byDefault(respond("x")));
                hosts.append(i == 0 ? "" : ",")
                        .append(NodeHarness.host("s" + i, servers.get(i).address()));
            }
            write(capture, 2);
            discovery = NodeHarness.discovery(hosts.toString());
            config = NodeHarness.config(discovery.address(), hosts.toString(), 1024, "");
            node = NodeHarness.start(config, file);
        }

        String captureSection(boolean on) {
            return "[capture]\non = " + on + "\ndirectory = \"" + captureDirectory + "\"\nsnapshot-every = \"1s\"\n";
        }

        void write(String capture, int attempts) throws IOException {
            Files.writeString(file, "version = 1\n" + capture + "[class.read]\nattempts = " + attempts + "\n# end\n");
        }

        void reload() throws Exception {
            Path platform = directory.resolve("platform.json");
            Files.write(platform, config);
            node.node.reload(Map.of("GW_CONFIG", platform.toString()));
        }

        /** Sends this many requests, idempotent and non-idempotent ones; each must get a response. */
        void sendRequests(int count) throws IOException {
            for (int i = 0; i < count; i++) {
                String id = String.format("%016x", 0x9000 + requestsSent++);
                assertTrue(node.send(i % 3 == 0 ? NodeHarness.post(id, "cow") : NodeHarness.get(id)) != null, id);
            }
        }

        @Override
        public void close() throws IOException {
            node.close();
            discovery.close();
            for (ScriptedHttpServer server : servers) {
                server.close();
            }
        }
    }

    private static boolean captureThreadRuns() {
        return Thread.getAllStackTraces().keySet().stream()
                .anyMatch(t -> t.getName().equals("capture") && t.isAlive());
    }

    private static Replayer replay(Path captureDirectory, DecisionExplainer explanation) throws IOException {
        Replayer replayer = new Replayer(
                explanation,
                false,
                explanation == null ? new Replayer.Listener[0] : new Replayer.Listener[] {explanation});
        CaptureFiles.read(List.of(captureDirectory), replayer);
        return replayer;
    }

    @Test
    void captureIsReplayedExplainedAndCheckedAgainstInvariants() throws Exception {
        Path captureDirectory;
        int requestsSent;
        try (TestCluster cluster = new TestCluster("")) {
            cluster.write(cluster.captureSection(true), 2);
            cluster.reload();
            cluster.sendRequests(60);
            cluster.servers.get(0).byDefault(respondWithStatus(500));
            cluster.servers.get(1).byDefault(reject());
            cluster.sendRequests(60);
            cluster.write(cluster.captureSection(true), 3);
            cluster.reload();
            cluster.servers.get(0).byDefault(resetAfterLastByte());
            cluster.sendRequests(60);
            cluster.servers.get(1).close();
            cluster.servers.get(0).byDefault(respond("recovered"));
            cluster.sendRequests(60);
            captureDirectory = cluster.captureDirectory;
            requestsSent = cluster.requestsSent;
        }
        assertFalse(captureThreadRuns());
        Replayer replayer = replay(captureDirectory, null);
        assertEquals(List.of(), replayer.divergences());
        assertEquals(0, replayer.droppedEvents() + replayer.skippedEvents() + replayer.corruptions());
        assertEquals(1, replayer.restores());
        CaptureVerifier verifier = new CaptureVerifier();
        List<CaptureEntry> entries = new ArrayList<>();
        CaptureFiles.read(List.of(captureDirectory), e -> {
            verifier.accept(e);
            entries.add(e);
        });
        assertEquals(List.of(), verifier.checker.violations());
        assertEquals(requestsSent, verifier.checker.answered());
        assertEquals(0, verifier.checker.openRequests());
        assertTrue(entries.stream()
                .anyMatch(e -> e instanceof CaptureEntry.EventRecord t
                        && t.event() instanceof RoutesChanged n
                        && n.routes() != null));
        // A request that was retried is found by the id that its client sent.
        AttemptEnded retriedAttempt = entries.stream()
                .filter(e -> e instanceof CaptureEntry.EventRecord t
                        && t.event() instanceof AttemptEnded a
                        && a.attempt() == 1)
                .map(e -> (AttemptEnded) ((CaptureEntry.EventRecord) e).event())
                .findFirst()
                .orElseThrow();
        DecisionExplainer explanation = DecisionExplainer.forRequest(retriedAttempt.requestId());
        replay(captureDirectory, explanation);
        assertTrue(explanation.text().contains("attempt 1 goes to " + retriedAttempt.endpointId()), explanation.text());
        assertTrue(explanation.text().contains("is retried"), explanation.text());
        // The capture contains neither bodies nor headers that identify a person.
        for (CaptureFiles.SegmentFile segment : CaptureFiles.segmentsIn(captureDirectory)) {
            assertFalse(Files.readString(segment.path(), java.nio.charset.StandardCharsets.ISO_8859_1)
                    .contains("cow"));
        }
    }

    @Test
    void fileSwitchesCaptureOnAndOffAtRuntime() throws Exception {
        try (TestCluster cluster = new TestCluster("")) {
            cluster.sendRequests(5);
            assertFalse(captureThreadRuns());
            assertFalse(Files.exists(cluster.captureDirectory));
            cluster.write(cluster.captureSection(true), 2);
            cluster.reload();
            cluster.sendRequests(20);
            assertTrue(captureThreadRuns());
            // A file with errors changes nothing.
            Files.writeString(cluster.file, "version = 1\n[capture]\non = 3\n# end\n");
            cluster.reload();
            cluster.sendRequests(20);
            assertTrue(captureThreadRuns());
            cluster.write(cluster.captureSection(false), 2);
            cluster.reload();
            assertFalse(captureThreadRuns());
            long size = CaptureFiles.segmentsIn(cluster.captureDirectory)
                    .get(0)
                    .path()
                    .toFile()
                    .length();
            cluster.sendRequests(20);
            assertEquals(
                    size,
                    CaptureFiles.segmentsIn(cluster.captureDirectory)
                            .get(0)
                            .path()
                            .toFile()
                            .length());
            cluster.write(cluster.captureSection(true), 2);
            cluster.reload();
            cluster.sendRequests(20);
            cluster.write("", 2);
            cluster.reload();
            TestSupport.await(() -> !captureThreadRuns());
            Replayer replayer = replay(cluster.captureDirectory, null);
            assertEquals(List.of(), replayer.divergences());
            assertEquals(2, replayer.restores());
            assertTrue(replayer.replayedEvents() >= 3 * 20 * 2, replayer.replayedEvents() + " events");
        }
    }

    /** A capture that can't be written must not affect the requests. */
    @Test
    void unwritableDirectoryFailsNoRequest() throws Exception {
        try (TestCluster cluster = new TestCluster("")) {
            Files.writeString(cluster.captureDirectory, "in the way");
            cluster.write(cluster.captureSection(true), 2);
            cluster.reload();
            cluster.sendRequests(30);
            Files.delete(cluster.captureDirectory);
            TestSupport.await(() -> {
                try {
                    cluster.sendRequests(1);
                    return Files.exists(cluster.captureDirectory)
                            && replay(cluster.captureDirectory, null).replayedEvents() > 0;
                } catch (IOException e) {
                    return false;
                }
            });
            cluster.write("", 2);
            cluster.reload();
            Replayer replayer = replay(cluster.captureDirectory, null);
            assertEquals(List.of(), replayer.divergences());
            assertTrue(replayer.droppedEvents() > 30, replayer.droppedEvents() + " events reported as dropped");
        }
    }
}

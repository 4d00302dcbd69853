package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestSupport;

/** Tests the packaged node, started by the command in the deploy file. */
class PackagedNodeIT {
    static ProcessBuilder run() throws Exception {
        String command = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceFirst("^run = \"", "")
                .replaceFirst("\"$", "");
        return new ProcessBuilder("/bin/sh", "-c", command);
    }

    @Test
    void servesAndExitsOnSigterm() throws Exception {
        Path config = Files.createTempFile("weldhitch", ".json");
        ScriptedServer server = ScriptedServer.respondingWith(m -> NodeHarness.ok("hello"));
        String hosts = NodeHarness.host("s", server.address());
        try (ScriptedServer discovery = NodeHarness.discovery(hosts)) {
            Files.write(config, NodeHarness.config(discovery.address(), hosts, 1024, ""));
            ProcessBuilder run = run();
            run.environment().put("GW_CONFIG", config.toString());
            Process process = run.start();
            try (BufferedReader log = process.errorReader(StandardCharsets.UTF_8)) {
                Matcher listens =
                        Pattern.compile("listens on /127\\.0\\.0\\.1:(\\d+)").matcher(log.readLine());
                assertTrue(listens.find());
                int port = Integer.parseInt(listens.group(1));
                assertEquals(
                        "hello", NodeProcess.send(port, NodeHarness.get("1")).bodyText());
                Files.writeString(config, "nonsense");
                NodeProcess.hangUp(process);
                assertTrue(log.readLine().startsWith("config reload rejected: GW_CONFIG"));
                assertEquals(
                        "hello", NodeProcess.send(port, NodeHarness.get("1b")).bodyText());
                Files.write(config, NodeHarness.config("127.0.0.1:9", hosts, 1024, ""));
                NodeProcess.hangUp(process);
                assertEquals("discovery moved address=/127.0.0.1:9", log.readLine());
                process.destroy();
                // New connections are still accepted; their requests are answered with Connection: close.
                assertEquals(200, NodeProcess.send(port, NodeHarness.get("2")).status());
                assertEquals(128 + 15, process.waitFor());
            } finally {
                process.destroyForcibly();
            }
        } finally {
            Files.delete(config);
            server.close();
        }
    }

    /**
     * Guards against an outdated class list: with one, 160 classes were read from the jar or generated in a node's
     * first second, 20 of them before it listened, which took half of the time to readiness on a busy machine.
     */
    @Test
    void loadsItsOwnClassesFromItsArchive() throws Exception {
        Path loaded = Files.createTempFile("loaded", ".log");
        try (NodeProcess node =
                new NodeProcess(run -> run.replaceFirst("java ", "java -Xlog:class+load:file=" + loaded + ":none "))) {
            node.exercise();
            List<String> notArchived = Files.readAllLines(loaded).stream()
                    .filter(l -> !l.contains("source: shared objects file"))
                    .filter(l ->
                            l.startsWith("weldhitch.") || l.startsWith("io.netty.") || l.startsWith("com.fasterxml."))
                    .toList();
            assertTrue(notArchived.size() <= 5, "not in the archive, run ClassListGenerator again: " + notArchived);
        } finally {
            Files.delete(loaded);
        }
    }

    /**
     * The jar contains the classes that parse the file. SIGHUP activates a valid new file and keeps the last valid one
     * otherwise.
     */
    @Test
    void readsItsOperatorFileAtStartAndOnSighup() throws Exception {
        Path file = Files.createTempFile("operator", ".toml");
        Files.writeString(file, "version = 1\n[class.read]\ndeadline = \"7s\"\nattempts = 2\n# end\n");
        try (NodeProcess node = new NodeProcess(run -> run + " --operator " + file)) {
            assertEquals(200, node.send(NodeHarness.get("good")).status());
            Files.writeString(file, "version = 1\n[class.read]\nattempts = 9\n# end\n");
            node.hangUp();
            String logLine = node.logLine();
            assertTrue(
                    logLine.startsWith("route config rejected, keeping last valid: " + file
                            + ":3: error: class.read.attempts: 9 is more than the platform's limit of 4"),
                    logLine);
            assertEquals(200, node.send(NodeHarness.get("still")).status());
            Files.writeString(file, "version = 1\n[class.read]\ntenants = { \"*\" = 0.001 }\n# end\n");
            node.hangUp();
            logLine = node.logLine();
            assertTrue(logLine.startsWith("route config active file=") && logLine.endsWith(" routes=1"), logLine);
            // The limit is so low that no request is admitted, which shows that the new rules are active.
            TestSupport.await(() -> status(node) == 503);
        } finally {
            Files.delete(file);
        }
    }

    private static int status(NodeProcess node) {
        try {
            return node.send(NodeHarness.get("r" + System.nanoTime())).status();
        } catch (IOException e) {
            return 0;
        }
    }

    @Test
    void invalidOperatorFileEndsTheStartWithAllErrors() throws Exception {
        Path file = Files.createTempFile("operator", ".toml");
        Files.writeString(file, "version = 1\n[class.read]\nattempts = 9\ndeadlin = \"1s\"\n# end\n");
        Path config = Files.createTempFile("weldhitch", ".json");
        Files.write(config, NodeHarness.config("127.0.0.1:9", "", 1024, ""));
        ProcessBuilder run = run();
        run.command().set(2, run.command().get(2) + " --operator " + file);
        run.environment().put("GW_CONFIG", config.toString());
        Process process = run.start();
        String errorOutput = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(78, process.waitFor());
        assertTrue(
                errorOutput.contains(file + ":3: error: class.read.attempts: ")
                        && errorOutput.contains(file + ":4: error: class.read." + "deadlin: "),
                errorOutput);
        Files.delete(file);
        Files.delete(config);
    }

    @Test
    void invalidConfigurationEndsTheStartWithOneLine() throws Exception {
        ProcessBuilder run = run();
        run.environment().put("GW_CONFIG", "/nowhere/at/all");
        Process process = run.start();
        String errorOutput = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(78, process.waitFor());
        assertTrue(
                errorOutput.startsWith("weldhitch: GW_CONFIG: ")
                        && errorOutput.lines().count() == 1,
                errorOutput);
    }

    /**
     * Guards against this failure: after an error had ended the event loop, the process went on for 10 s without
     * answering anybody, and ended with status 0.
     */
    @Test
    void endOfTheEventLoopEndsTheProcessAtOnce() throws Exception {
        try (NodeProcess node = new NodeProcess(run -> run.replaceFirst(
                "-jar (\\S+) serve",
                "-cp $1:node/target/test-classes:testkit/target/classes " + EventLoopEndMain.class.getName()))) {
            assertTrue(node.process.waitFor(5, TimeUnit.SECONDS), "the process goes on");
            assertEquals(70, node.process.exitValue());
        }
    }

    @Test
    void unknownCommandPrintsUsage() throws Exception {
        Process process = new ProcessBuilder("java", "-jar", "node/target/weldhitch-node.jar", "dance").start();
        String errorOutput = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(64, process.waitFor());
        assertEquals("usage: weldhitch serve [--operator FILE] | adapter\n", errorOutput);
    }
}

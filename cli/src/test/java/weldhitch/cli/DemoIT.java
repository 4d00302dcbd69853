package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/** End-to-end test of {@code demo}, run from the jar by a single command. */
class DemoIT {
    private static Process startProgram(String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "cli/target/weldhitch.jar"));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command).redirectErrorStream(true).start();
    }

    private static RawHttpMessage sendRequest(int port, String id, String request) throws IOException {
        try (TestConnection connection = new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port))) {
            connection.write(
                    request + " HTTP/1.1\r\nHost: demo\r\nX-Trace-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return connection.readMessage();
        }
    }

    @Test
    void killingAServerFailsNoIdempotentRequest() throws Exception {
        Process demo = startProgram("demo", "--port", "0");
        List<ProcessHandle> children;
        try (BufferedReader out = demo.inputReader(StandardCharsets.UTF_8)) {
            Pattern serverPattern = Pattern.compile("server s\\d is process (\\d+) on 127\\.0\\.0\\.1:\\d+");
            Pattern curlPattern = Pattern.compile("http://127\\.0\\.0\\.1:(\\d+)/look-up");
            List<Long> serverPids = new ArrayList<>();
            int port = 0;
            for (String line = out.readLine(); port == 0 && line != null; line = out.readLine()) {
                Matcher matcher = serverPattern.matcher(line);
                if (matcher.find()) {
                    serverPids.add(Long.parseLong(matcher.group(1)));
                }
                matcher = curlPattern.matcher(line);
                port = matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
            }
            assertEquals(3, serverPids.size());
            children = demo.children().toList();
            assertEquals(4, children.size(), "child processes: three servers and one node");
            assertTrue(sendRequest(port, "first", "GET /look-up").bodyText().matches("s\\d served GET /look-up\n"));
            assertEquals(200, sendRequest(port, "enrol", "POST /enrol").status());
            ProcessHandle.of(serverPids.get(0)).orElseThrow().destroyForcibly();
            for (int i = 0; i < 300; i++) {
                RawHttpMessage response = sendRequest(port, "g" + i, "GET /look-up");
                assertEquals(200, response.status(), "look-up " + i + " after the kill");
            }
        } finally {
            demo.destroy();
        }
        assertTrue(demo.waitFor(TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        for (ProcessHandle child : children) {
            child.onExit().get(TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    @Test
    void invalidArgumentsExitWithStatusTwoAndAreReported() throws Exception {
        for (String[] arguments : new String[][] {{"dance"}, {"demo", "--servers", "0"}, {"demo", "--port", "x"}}) {
            Process process = startProgram(arguments);
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(2, process.waitFor(), output);
            // For a word similar to a command, the error suggests that command instead of the usage.
            assertTrue(
                    output.contains(arguments[arguments.length - 1])
                            && (output.contains("Usage: weldhitch") || output.contains("Did you mean: weldhitch")),
                    output);
        }
    }
}

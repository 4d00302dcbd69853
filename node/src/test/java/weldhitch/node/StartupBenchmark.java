package weldhitch.node;

import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import weldhitch.testkit.TestConnection;

/**
 * Measures the CPU time of a packaged node until it listens, for its first 300 requests and for the next 2,000; run by
 * hand. The arguments are additional JVM options to measure. docs/restarts-and-releases.md contains the command.
 */
final class StartupBenchmark {
    private StartupBenchmark() {}

    /** Runs the measurement with the given options and prints the results. */
    public static void main(String[] args) throws Exception {
        String options = String.join(" ", args);
        List<List<Long>> samples = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (int i = 0; i < 7; i++) {
            try (NodeProcess node = new NodeProcess(run -> run.replaceFirst("-jar", options + " -jar"));
                    TestConnection connection =
                            new TestConnection(new Socket(InetAddress.getLoopbackAddress(), node.port))) {
                long cpuAtStart = cpuMillis(node);
                sendRequests(connection, 300, "a");
                long cpuAfterFirst = cpuMillis(node);
                sendRequests(connection, 2000, "b");
                samples.get(0).add(cpuAtStart);
                samples.get(1).add(cpuAfterFirst - cpuAtStart);
                samples.get(2).add(cpuMillis(node) - cpuAfterFirst);
            }
        }
        samples.forEach(Collections::sort);
        System.out.println("CPU time in ms, median of 7: until the node listens "
                + samples.get(0).get(3) + ", first 300 requests "
                + samples.get(1).get(3) + ", next 2000 " + samples.get(2).get(3) + "  " + options);
    }

    private static void sendRequests(TestConnection connection, int count, String idPrefix) throws Exception {
        for (int i = 0; i < count; i++) {
            connection.write(i % 2 == 0 ? NodeHarness.get(idPrefix + i) : NodeHarness.post(idPrefix + i, "body"));
            connection.readMessage();
        }
    }

    private static long cpuMillis(NodeProcess node) {
        return node.process.info().totalCpuDuration().orElseThrow().toMillis();
    }
}

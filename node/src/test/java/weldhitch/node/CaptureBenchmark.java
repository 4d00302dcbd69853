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
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import weldhitch.capture.format.CaptureFiles;
import weldhitch.replay.Replayer;
import weldhitch.testkit.ReservedPort;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestConnection;

/**
 * Measures the cost of a capture for the packaged node; run by hand. The same closed loop of clients runs against a
 * node with the capture off and on, alternately. docs/capture.md contains the command and dated results.
 */
final class CaptureBenchmark {
    private static final int WARM_UP_S = 4;

    private CaptureBenchmark() {}

    /**
     * The results of one round. Latencies are in milliseconds.
     *
     * @param perSecond responses per second
     * @param cpuMicros CPU time per request, in microseconds
     * @param peakKiB peak resident memory of the process, in KiB
     */
    private record Measurement(
            double perSecond, double p50, double p99, double cpuMicros, long requests, long peakKiB) {}

    /** Runs the rounds and prints their results; the arguments are rounds, seconds per round and clients. */
    public static void main(String[] args) throws Exception {
        int rounds = args.length > 0 ? Integer.parseInt(args[0]) : 5;
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 8;
        int clients = args.length > 2 ? Integer.parseInt(args[2]) : 16;
        Path captureDirectory = Files.createTempDirectory("capture-measure");
        List<Measurement> off = new ArrayList<>();
        List<Measurement> on = new ArrayList<>();
        for (int i = 0; i < rounds; i++) {
            off.add(measure(null, seconds, clients));
            on.add(measure(captureDirectory.resolve("round-" + i), seconds, clients));
            System.out.printf(Locale.ROOT, "round %d  off %s  on %s%n", i, off.get(i), on.get(i));
        }
        printMedians("off", off);
        printMedians("on ", on);
        Replayer replayer = new Replayer(null, false);
        long startedAt = System.nanoTime();
        List<Path> last = List.of(captureDirectory.resolve("round-" + (rounds - 1)));
        CaptureFiles.read(last, replayer);
        double elapsedSeconds = (System.nanoTime() - startedAt) / 1e9;
        long bytes = CaptureFiles.segmentsIn(last.get(0)).stream()
                .mapToLong(s -> s.path().toFile().length())
                .sum();
        System.out.printf(
                Locale.ROOT,
                "last capture: %d events, %d dropped, %d divergences, %.1f bytes per request;"
                        + " replayed in %.2f s, %.0f times as fast as recorded%n",
                replayer.replayedEvents(),
                replayer.droppedEvents(),
                replayer.divergences().size(),
                (double) bytes / on.get(rounds - 1).requests,
                elapsedSeconds,
                replayer.duration() / 1e9 / elapsedSeconds);
    }

    private static void printMedians(String label, List<Measurement> rounds) {
        System.out.printf(
                Locale.ROOT,
                "%s median: %.0f requests per second, p50 %.2f ms, p99 %.2f ms,"
                        + " %.1f us of CPU time per request, peak memory %d KiB%n",
                label,
                median(rounds.stream().map(Measurement::perSecond).toList()),
                median(rounds.stream().map(Measurement::p50).toList()),
                median(rounds.stream().map(Measurement::p99).toList()),
                median(rounds.stream().map(Measurement::cpuMicros).toList()),
                rounds.stream().mapToLong(Measurement::peakKiB).max().orElse(0));
    }

    private static double median(List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get(sorted.size() / 2);
    }

    private static Measurement measure(Path captureDirectory, int seconds, int clients) throws Exception {
        Path config = Files.createTempFile("capture", ".json");
        Path operator = Files.createTempFile("capture", ".toml");
        List<ScriptedServer> servers = new ArrayList<>();
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            servers.add(ScriptedServer.respondingWith(m -> NodeHarness.ok("x")));
            hosts.append(i == 0 ? "" : ",")
                    .append(NodeHarness.host("s" + i, servers.get(i).address()));
        }
        Files.writeString(
                operator,
                "version = 1\n"
                        + (captureDirectory == null ? "" : "[capture]\ndirectory = \"" + captureDirectory + "\"\n")
                        + "# end\n");
        ReservedPort reservedPort = new ReservedPort();
        int port = reservedPort.number();
        try (reservedPort;
                ScriptedServer discovery = NodeHarness.discovery(hosts.toString())) {
            Files.writeString(
                    config,
                    new String(
                                    NodeHarness.config(discovery.address(), hosts.toString(), 1024, ""),
                                    StandardCharsets.UTF_8)
                            .replace("127.0.0.1:0", reservedPort.address()));
            ProcessBuilder run = PackagedNodeIT.run();
            run.command().set(2, run.command().get(2) + " --operator " + operator);
            run.environment().put("GW_CONFIG", config.toString());
            run.redirectError(ProcessBuilder.Redirect.DISCARD);
            Process node = run.start();
            try {
                while (!acceptsConnections(port)) {
                    Thread.onSpinWait();
                }
                load(port, WARM_UP_S, clients, 1);
                long cpuTicksBefore = cpuTicks(node.pid());
                Histogram latency = load(port, seconds, clients, 2);
                double cpuMicros = (cpuTicks(node.pid()) - cpuTicksBefore) * 10_000.0 / latency.getTotalCount();
                return new Measurement(
                        (double) latency.getTotalCount() / seconds,
                        latency.getValueAtPercentile(50) / 1e6,
                        latency.getValueAtPercentile(99) / 1e6,
                        cpuMicros,
                        latency.getTotalCount(),
                        peakKiB(node.pid()));
            } finally {
                node.destroy();
                node.waitFor();
            }
        } finally {
            for (ScriptedServer server : servers) {
                server.close();
            }
            Files.delete(config);
            Files.delete(operator);
        }
    }

    private static boolean acceptsConnections(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Runs a closed loop of clients; phases of the same node have different numbers, so that request ids differ. */
    private static Histogram load(int port, int seconds, int clients, int phase) throws Exception {
        Histogram all = new Histogram(60_000_000_000L, 3);
        AtomicLong ids = new AtomicLong(phase * 0x1000_0000_0000L);
        List<Thread> threads = new ArrayList<>();
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        for (int i = 0; i < clients; i++) {
            Thread thread = new Thread(() -> {
                Histogram latencies = new Histogram(60_000_000_000L, 3);
                try (TestConnection connection =
                        new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port))) {
                    while (System.nanoTime() < end) {
                        long startedAt = System.nanoTime();
                        connection.write(
                                NodeHarness.get(String.format("%016x", ids.incrementAndGet() * 0x9E3779B97F4A7C15L)));
                        if (connection.readMessage() == null) {
                            throw new IOException("connection closed without a response");
                        }
                        latencies.recordValue(System.nanoTime() - startedAt);
                    }
                } catch (IOException e) {
                    System.err.println("client stopped: " + e);
                }
                synchronized (all) {
                    all.add(latencies);
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return all;
    }

    /** Returns the peak resident memory of a process in KiB: heap, code and threads (proc(5), status: VmHWM). */
    private static long peakKiB(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(l -> l.startsWith("VmHWM:"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }

    /** Returns the CPU time of a process in hundredths of a second (proc(5), stat: utime and stime). */
    private static long cpuTicks(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    }
}

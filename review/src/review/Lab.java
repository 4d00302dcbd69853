package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases share: a temporary folder, the record of a run, the project's programs as child processes by the
 * commands of the deploy file, signals to them, and small HTTP calls. {@link #close} ends every process that was
 * started.
 */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final HttpClient HTTP = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    /** Added to the exit code, so that {@code run.sh} can tell a result from a failure of the Java runtime. */
    private static final int EXIT_BASE = 20;

    /** A case; returns one of the results above. */
    interface Case {
        int run(Lab lab) throws Exception;
    }

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    private Lab(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("weldhitch-review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    }

    /** Runs a case and exits with its result plus 20. The first argument is the folder of the case. */
    static void main(String[] arguments, Case review) {
        int result = COULD_NOT_RUN;
        try (Lab lab = new Lab(Path.of(arguments[0]))) {
            Thread cleanUp = new Thread(lab::endProcesses);
            Runtime.getRuntime().addShutdownHook(cleanUp);
            lab.note("case " + Path.of(arguments[0]).getFileName() + ", TROUBLE=" + (lab.trouble ? 1 : 0));
            try {
                result = review.run(lab);
            } catch (Exception e) {
                lab.note("could not run: " + e);
            }
            lab.note(result == HELD ? "result: 0, the rule held"
                    : result == BROKEN ? "result: 1, the rule was broken" : "result: 2, the case could not run");
        } catch (IOException e) {
            System.err.println("could not run: " + e);
        }
        Runtime.getRuntime().halt(EXIT_BASE + result);
    }

    /** Writes a line to the record and to standard output, with the milliseconds since the start. */
    void note(String line) {
        System.out.println(record(line));
    }

    /** Writes a line to the record alone, with the milliseconds since the start, and returns it. */
    synchronized String record(String line) {
        String timed = String.format("%8d ms  %s", (System.nanoTime() - startedAt) / 1_000_000, line);
        record.println(timed);
        return timed;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Returns the command {@code key} of the deploy file. */
    String deployCommand(String key) throws IOException {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/balancer.toml has no " + key);
        }
        return matcher.group(1);
    }

    /** Starts a command by the shell, from the root of the project; its output goes to {@code NAME.log}. */
    Process start(String name, String command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()));
        builder.environment().putAll(environment);
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        note("started " + name + " as process " + process.pid());
        return process;
    }

    /** Starts a node with the command {@code run} of the deploy file. */
    Process startNode(String name, Path config, Path operatorFile) throws IOException {
        String operator = operatorFile == null ? "" : " --operator " + operatorFile;
        return start(name, deployCommand("run") + operator, Map.of("GW_CONFIG", config.toString()));
    }

    /** Starts a coordinator of the command line that the build of the deploy file made. */
    Process startCoordinator(String name, Path config) throws IOException {
        return start(name, "exec java -jar cli/target/weldhitch.jar coordinator --config=" + config, Map.of());
    }

    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    /** Copies the lines of a log that contain the text to the record. */
    void noteLog(String name, String containing) throws IOException {
        try (Stream<String> lines = Files.lines(log(name), StandardCharsets.ISO_8859_1)) {
            lines.filter(line -> line.contains(containing))
                    .limit(20)
                    .forEach(line -> note("  log of " + name + ": "
                            + line.substring(0, Math.min(300, line.length())).replace(folder.toString(), "FOLDER")));
        }
    }

    boolean logContains(String name, String text) {
        try (Stream<String> lines = Files.lines(log(name), StandardCharsets.ISO_8859_1)) {
            return lines.anyMatch(line -> line.contains(text));
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to a process that this case started. */
    void signal(String name, Process process, String signal) throws Exception {
        note("SIG" + signal + " to " + name);
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Waits until the condition holds; returns whether it did in time. */
    static boolean await(long seconds, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            Thread.sleep(25);
        }
        return true;
    }

    /** As {@link #await}, but the case could not run if the condition does not come true. */
    void require(String what, long seconds, BooleanSupplier condition) throws Exception {
        if (!await(seconds, condition)) {
            throw new IOException(what + " did not come true in " + seconds + " s");
        }
        note(what);
    }

    /** Returns the status and the body of a GET; 0 and the cause if there is no answer. */
    static String[] get(String url, long timeoutMillis) {
        try {
            HttpResponse<String> response = HTTP.send(
                    HttpRequest.newBuilder(URI.create(url))
                            .timeout(Duration.ofMillis(timeoutMillis))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return new String[] {String.valueOf(response.statusCode()), response.body()};
        } catch (IOException e) {
            return new String[] {"0", String.valueOf(e)};
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static boolean isReady(int nodePort) {
        return get("http://127.0.0.1:" + nodePort + "/ready", 1000)[0].equals("200");
    }

    static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private void endProcesses() {
        synchronized (processes) {
            for (Process process : processes) {
                process.descendants().forEach(ProcessHandle::destroyForcibly);
                process.destroyForcibly();
            }
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        record.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            }
        } else {
            System.out.println("kept " + folder);
        }
    }
}

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases of the second review share: processes of the project, started with its own commands, stand-ins for
 * servers and discovery that follow the protocol page, a plain HTTP client, and the record of a run. All sockets are on
 * loopback.
 */
final class Lab {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    /** A run ends here, whatever it waits for. */
    private static final long LIMIT_MILLIS = 112_000;

    /** Whether the run contains the disruption of its case. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Path root = Path.of("").toAbsolutePath();
    final Path directory;
    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong(System.nanoTime());
    private final String run;

    /** A body of code that decides how a run ends. */
    interface Body {
        int run(Lab lab) throws Exception;
    }

    /** Runs a case and ends this process with its result. */
    static void main(String[] arguments, Body body) throws Exception {
        Lab lab = new Lab(Path.of(arguments[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(lab::endProcesses));
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            lab.log("the run took too long");
            lab.end(NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        int result;
        try {
            result = body.run(lab);
        } catch (Throwable e) {
            lab.log("could not run: " + e);
            e.printStackTrace(lab.record);
            result = NOT_RUN;
        }
        lab.end(result);
    }

    private Lab(Path caseDirectory) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseDirectory.resolve("record.txt")), true);
        directory = Files.createTempDirectory("weldhitch-review");
        Matcher command = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!command.find()) {
            throw new IOException("deploy/balancer.toml has no run command");
        }
        run = command.group(1);
        log("trouble=" + (trouble ? 1 : 0));
    }

    private synchronized void end(int result) {
        log(result == HELD ? "result: the rule held" : result == BROKEN ? "result: the rule was broken" : "result: not run");
        endProcesses();
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // The folder is a temporary one.
        }
        record.flush();
        Runtime.getRuntime().halt(result);
    }

    private synchronized void endProcesses() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void log(String line) {
        record.println(String.format(Locale.ROOT, "%8.3f  %s", seconds(), line));
    }

    /** Waits until the condition holds; returns whether it did in time. */
    boolean await(String what, double maxSeconds, BooleanSupplier condition) throws InterruptedException {
        double from = seconds();
        while (!condition.getAsBoolean()) {
            if (seconds() - from > maxSeconds) {
                log("not within " + maxSeconds + " s: " + what);
                return false;
            }
            Thread.sleep(20);
        }
        log(String.format(Locale.ROOT, "after %.2f s: %s", seconds() - from, what));
        return true;
    }

    void require(String what, double maxSeconds, BooleanSupplier condition) throws Exception {
        if (!await(what, maxSeconds, condition)) {
            throw new IllegalStateException(what);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    String newId() {
        return String.format("%016x", ids.incrementAndGet());
    }

    // ---- processes

    /** A process of the project with its log. */
    final class Program {
        final String name;
        final Path logFile;
        private final List<String> command;
        private final Map<String, String> environment;
        private Process process;

        Program(String name, List<String> command, Map<String, String> environment) {
            this.name = name;
            this.command = command;
            this.environment = environment;
            logFile = directory.resolve(name + ".log");
        }

        Program start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().keySet().removeIf(key -> key.startsWith("GW_"));
            builder.environment().putAll(environment);
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
            process = builder.start();
            synchronized (Lab.this) {
                processes.add(process);
            }
            log("started " + name);
            return this;
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String signal) throws Exception {
            log("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws Exception {
            log("signal KILL to " + name);
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }

        String logText() {
            try {
                return Files.exists(logFile) ? Files.readString(logFile) : "";
            } catch (IOException e) {
                return "";
            }
        }

        /** Copies the lines of this program's log that contain any of the words to the record. */
        void recordLog(String... words) {
            logText().lines().filter(line -> Stream.of(words).anyMatch(line::contains)).limit(60).forEach(line ->
                    Lab.this.log("    " + name + ": " + line));
        }
    }

    /** One of 1, 3 or 5 coordinators. */
    final class Coordinator {
        final String name;
        final int port;
        final Path home;
        Program program;

        Coordinator(String name, int port) {
            this.name = name;
            this.port = port;
            home = directory.resolve(name);
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        /** Returns the state of this coordinator; an empty text if it does not answer within two seconds. */
        String state() {
            try {
                Answer answer = call(port, "GET /v1/state HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n", 2000);
                return answer.status == 200 ? answer.body : "";
            } catch (IOException e) {
                return "";
            }
        }

        boolean leads() {
            return state().replace(" ", "").contains("\"leads\":true");
        }

        /** Lays a file into the directory for operators: written elsewhere, then renamed. */
        void layIn(String fileName, String text) throws IOException {
            Path temporary = directory.resolve("operator-" + fileName);
            Files.writeString(temporary, text);
            Files.move(temporary, home.resolve("versions").resolve(fileName));
            log("operator renames a file to " + name + "/versions/" + fileName);
        }
    }

    List<Coordinator> coordinators(int count, String absent) throws Exception {
        List<Coordinator> coordinators = new ArrayList<>();
        StringBuilder table = new StringBuilder("[stewards]\n");
        for (int i = 1; i <= count; i++) {
            coordinators.add(new Coordinator("s" + i, freePort()));
            table.append("s" + i + " = \"" + coordinators.get(i - 1).address() + "\"\n");
        }
        for (Coordinator coordinator : coordinators) {
            Path file = directory.resolve(coordinator.name + ".toml");
            Files.writeString(
                    file,
                    "version = 1\nname = \"" + coordinator.name + "\"\ncluster = \"review\"\nlisten = \""
                            + coordinator.address() + "\"\ndirectory = \"" + coordinator.home + "\"\nabsent = \""
                            + absent + "\"\n" + table);
            coordinator.program = new Program(
                            coordinator.name,
                            List.of("java", "-jar", "cli/target/weldhitch.jar", "coordinator",
                                    "--config=" + file),
                            Map.of())
                    .start();
        }
        return coordinators;
    }

    /** Returns the coordinator that leads now; null if there is none. */
    static Coordinator leader(List<Coordinator> coordinators) {
        return coordinators.stream().filter(Coordinator::leads).findFirst().orElse(null);
    }

    /** Returns the list of members in the state of a coordinator, as JSON. */
    static String members(Coordinator coordinator) {
        String state = coordinator.state();
        int start = state.indexOf("\"roster\"");
        return start < 0 ? "" : state.substring(start, state.indexOf(']', start));
    }

    /** A node behind its own discovery. */
    final class Node {
        final String name;
        final int port;
        final Program program;
        final Path configFile;

        Node(String name, int index, int count, Discovery discovery, String routeConfig, String settings)
                throws IOException {
            this.name = name;
            port = freePort();
            configFile = directory.resolve(name + ".json");
            Files.writeString(configFile, config(discovery, index, count, settings));
            String command = run;
            if (routeConfig != null) {
                Path file = directory.resolve(name + "-routes.toml");
                Files.writeString(file, routeConfig);
                command += " --operator " + file;
            }
            program = new Program(
                    name,
                    List.of("/bin/sh", "-c", command),
                    Map.of("GW_CONFIG", configFile.toString()));
        }

        private String config(Discovery discovery, int index, int count, String settings) {
            return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                    + discovery.address() + "\",\"seed\":\"" + Long.toHexString(1000 + index)
                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512},\"known\":"
                    + discovery.list() + ",\"settings\":" + settings.replace("%ME%", "" + index)
                            .replace("%COUNT%", "" + count) + "}";
        }

        boolean ready() {
            try {
                return call(port, "GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n", 1000).status
                        == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Sends a look-up and returns its answer. */
        Answer lookUp() throws IOException {
            return call(
                    port,
                    "GET /view-slots/7 HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + newId()
                            + "\r\nX-Qos: view-slots\r\nX-Expires-In: 1.500\r\nConnection: close\r\n\r\n",
                    2500);
        }

        /** Returns the route version that a look-up was decided by; -1 if it was not served. */
        long version() {
            try {
                Answer answer = lookUp();
                return answer.status == 200 ? Long.parseLong(answer.headers.getOrDefault("x-route-version", "-1")) : -1;
            } catch (IOException e) {
                return -1;
            }
        }
    }

    /** The settings of the users' protocol page for kigali-booking, one zone, lists pushed. */
    static String settings() {
        return "{\"areas\":[\"a\"],\"az\":\"a\",\"classes\":["
                + cls("view-slots", "read_like", 0.6, 1.5, 3) + "," + cls("book-visit", "non_idempotent", 0.6, 1.5, 3)
                + "," + cls("book-farm", "non_idempotent", 1.2, 3.0, 3)
                + "," + cls("book-campaign", "non_idempotent", 1.2, 3.0, 9)
                + "],\"layer\":0,\"limits\":{\"cancel\":true,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":39359,"
                + "\"dialTimeoutS\":0.15,\"keepaliveS\":5.0,\"maxAttempts\":6,\"maxRetryAfterS\":1.5,\"mayTell\":false,"
                + "\"mostHeld\":52479,\"probes\":false,\"retryAfter\":true,\"secondCopies\":true,\"streamsPerConn\":1},"
                + "\"me\":%ME%,\"membershipMode\":\"push\",\"overShareWorth\":0.1,\"prices\":{\"crossZone\":0.015},"
                + "\"quantumS\":0.002,\"rules\":{\"askEveryS\":10.0,\"coldS\":8.8,\"drainGraceS\":2.0,"
                + "\"fallMultiple\":3.0,\"graceToAnswerS\":0.008,\"overloadForS\":3.0,\"startCapacity\":0.31},"
                + "\"siblings\":%COUNT%,\"tiers\":[\"front\"],\"valueBy\":\"request\",\"weights\":\"nominal\"}";
    }

    private static String cls(String name, String effect, double aim, double deadline, int worth) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"all\",\"memorySpanS\":5.0,\"aimS\":"
                + aim + ",\"deadlineS\":" + deadline + ",\"lateWorth\":0.25,\"worth\":" + worth
                + ",\"streamed\":false}";
    }

    // ---- stand-ins

    /** A message as it was read. */
    static final class Answer {
        String startLine;
        int status;
        final Map<String, String> headers = new HashMap<>();
        String body;
    }

    /** Discovery: the whole list, and watches of it. Follows the protocol page. */
    final class Discovery {
        final int port;
        private final Map<String, String> hosts = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new LinkedHashMap<>();
        private long seq = 1;

        Discovery() throws IOException {
            port = serve((request, out) -> answer(request, out));
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        synchronized void put(String host, String address, String site, String health) {
            seq++;
            hosts.put(
                    host,
                    "{\"host\":\"" + host + "\",\"dial\":\"" + address + "\",\"site\":\"" + site
                            + "\",\"class\":\"front-fast\",\"block\":0,\"health\":\"" + health
                            + "\",\"share\":1.0,\"born_ms\":0}");
            changedAt.put(host, seq);
            notifyAll();
        }

        synchronized String list() {
            return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts.values()) + "]}";
        }

        private void answer(Answer request, OutputStream out) throws IOException {
            Matcher query = Pattern.compile("after=(\\d+)(?:&wait_ms=(\\d+))?").matcher(request.startLine);
            String body;
            if (query.find()) {
                long after = Long.parseLong(query.group(1));
                long waitMillis = query.group(2) == null ? 0 : Long.parseLong(query.group(2));
                body = changes(after, waitMillis);
            } else {
                body = list();
            }
            write(out, 200, "", body);
        }

        private synchronized String changes(long after, long waitMillis) {
            long until = System.nanoTime() + waitMillis * 1_000_000;
            while (seq <= after && System.nanoTime() < until) {
                try {
                    wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                } catch (InterruptedException e) {
                    break;
                }
            }
            List<String> changed = new ArrayList<>();
            hosts.forEach((host, entry) -> {
                if (changedAt.get(host) > after) {
                    changed.add(entry);
                }
            });
            return "{\"seq\":" + Math.max(seq, after) + ",\"whole\":false,\"hosts\":[" + String.join(",", changed)
                    + "]}";
        }
    }

    /** Makes a server reset the connection of the request that it handles. */
    static final class Reset extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /** Answers one request on a connection. */
    interface Handler {
        void handle(Answer request, OutputStream out) throws IOException;
    }

    /** Serves HTTP/1.1 on a free port, one request after another on each connection; returns the port. */
    int serve(Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        listeners.add(listener);
        daemon(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = listener.accept();
                } catch (IOException e) {
                    return;
                }
                daemon(() -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        socket.setSoLinger(false, 0);
                        InputStream in = new BufferedInputStream(socket.getInputStream());
                        while (true) {
                            try {
                                handler.handle(read(in), socket.getOutputStream());
                            } catch (Reset e) {
                                socket.setSoLinger(true, 0);
                                return;
                            }
                        }
                    } catch (IOException e) {
                        // The peer has closed the connection.
                    }
                });
            }
        });
        return listener.getLocalPort();
    }

    static void write(OutputStream out, int status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** A sound server: executes each request that it reads, and answers after a while. */
    Handler server(String name, long millis) {
        return (request, out) -> {
            pause(millis);
            write(out, 200, "", name + " did " + request.headers.get("x-trace-id"));
        };
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads a message with a length; for an answer, sets its status. */
    static Answer read(InputStream in) throws IOException {
        Answer message = new Answer();
        message.startLine = line(in);
        if (message.startLine.startsWith("HTTP/")) {
            message.status = Integer.parseInt(message.startLine.split(" ")[1]);
        }
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            message.headers.put(
                    header.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException();
        }
        message.body = new String(body, StandardCharsets.UTF_8);
        return message;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException();
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).trim();
    }

    /** Sends a request on a connection of its own and returns the answer. */
    static Answer call(int port, String request, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }
}

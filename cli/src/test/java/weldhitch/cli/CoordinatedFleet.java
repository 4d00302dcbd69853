package weldhitch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ReservedPort;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;
import weldhitch.testkit.fleet.CapacityLimitedDiscovery;
import weldhitch.testkit.fleet.LoadGenerator.RequestRecord;
import weldhitch.testkit.fleet.ManagedProcess;
import weldhitch.testkit.fleet.NodeFleet;

/**
 * A fleet of node and coordinator processes, with a fault-injecting link between any two of them. Owns the processes,
 * their ports and directories; used from one test thread.
 */
class CoordinatedFleet extends NodeFleet {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Ports of the coordinators, reserved before any process starts. A thread-local, because the superclass constructor
     * needs them before the fields of this class are set.
     */
    private static final ThreadLocal<Map<String, ReservedPort>> COORDINATOR_PORTS =
            ThreadLocal.withInitial(LinkedHashMap::new);

    /** The node whose platform settings differ; a thread-local for the same reason. */
    private static final ThreadLocal<String> DIFFERENT_NODE = new ThreadLocal<>();

    private final Map<String, ReservedPort> coordinatorPorts;
    private final Path directory = Files.createTempDirectory("weldhitch-stewards");
    private int submittedVersions;

    /**
     * Creates a fleet with default coordinator settings.
     *
     * @param differentNode a node whose platform settings allow one attempt fewer than those of the others, or null
     */
    CoordinatedFleet(int nodeCount, int coordinatorCount, int serverCount, String differentNode) throws Exception {
        this(nodeCount, coordinatorCount, serverCount, differentNode, "");
    }

    /**
     * Creates a fleet.
     *
     * @param differentNode a node whose platform settings allow one attempt fewer than those of the others, or null
     * @param settings further lines of each coordinator's configuration
     */
    CoordinatedFleet(int nodeCount, int coordinatorCount, int serverCount, String differentNode, String settings)
            throws Exception {
        super(
                nodeCount,
                rememberDifferentNode(differentNode, serverCount),
                5,
                0,
                false,
                eventLog -> new CapacityLimitedDiscovery(eventLog, 200, 20, 1000),
                (name, fleet) -> {
                    StringBuilder coordinators = new StringBuilder();
                    for (int i = 1; i <= coordinatorCount; i++) {
                        ReservedPort port = COORDINATOR_PORTS.get().computeIfAbsent("s" + i, s -> reservePort());
                        coordinators
                                .append(i == 1 ? "" : ", ")
                                .append('"')
                                .append(fleet.addLink(name + ">s" + i, port.address()))
                                .append('"');
                    }
                    return "version = 1\n[fleet]\ncluster = \"test\"\nstewards = [" + coordinators
                            + "]\ntell-version = true\n# end\n";
                });
        DIFFERENT_NODE.remove();
        coordinatorPorts = Map.copyOf(COORDINATOR_PORTS.get());
        COORDINATOR_PORTS.remove();
        for (int i = 1; i <= coordinatorCount; i++) {
            String name = "s" + i;
            Path coordinatorDirectory = Files.createDirectories(directory.resolve(name));
            StringBuilder peerAddresses = new StringBuilder();
            for (int j = 1; j <= coordinatorCount; j++) {
                peerAddresses
                        .append("s")
                        .append(j)
                        .append(" = \"")
                        .append(
                                i == j
                                        ? coordinatorPorts.get("s" + j).address()
                                        : addLink(
                                                name + ">s" + j,
                                                coordinatorPorts.get("s" + j).address()))
                        .append("\"\n");
            }
            Path config = coordinatorDirectory.resolve("steward.toml");
            Files.writeString(
                    config,
                    "version = 1\nname = \"" + name + "\"\ncluster = \"test\"\nlisten = \""
                            + coordinatorPorts.get(name).address()
                            + "\"\ndirectory = \"" + coordinatorDirectory + "\"\n" + settings
                            + "[timing]\nauthority = \"1s\"\nlease = \"1500ms\"\nlead = \"300ms\"\nvote = \"6s\"\n"
                            + "[stewards]\n" + peerAddresses);
            processes.put(
                    name,
                    new ManagedProcess(
                            eventLog,
                            name,
                            List.of(
                                    "java",
                                    "-Xmx64m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-jar",
                                    "cli/target/weldhitch.jar",
                                    "coordinator",
                                    "--config",
                                    config.toString()),
                            Map.of()));
        }
    }

    @Override
    protected String customizeConfig(String node, String text) {
        // Called from the superclass constructor, before the fields of this class are set.
        return node.equals(DIFFERENT_NODE.get()) ? text.replace("\"maxAttempts\":4", "\"maxAttempts\":3") : text;
    }

    private static int rememberDifferentNode(String node, int serverCount) {
        DIFFERENT_NODE.set(node);
        return serverCount;
    }

    private static ReservedPort reservePort() {
        try {
            return new ReservedPort();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    List<String> coordinators() {
        return coordinatorPorts.keySet().stream().sorted().toList();
    }

    void startCoordinators() throws Exception {
        for (String coordinator : coordinators()) {
            processes.get(coordinator).start();
        }
    }

    /** Returns the state that a coordinator reports; null if it does not respond. */
    JsonNode state(String coordinator) {
        if (!processes.get(coordinator).isRunning()) {
            return null;
        }
        try (TestConnection connection = new TestConnection(new Socket(
                InetAddress.getLoopbackAddress(),
                coordinatorPorts.get(coordinator).number()))) {
            connection.write("GET /v1/state HTTP/1.1\r\nHost: s\r\n\r\n");
            RawHttpMessage response = connection.readMessage();
            return response == null ? null : JSON.readTree(response.bodyText());
        } catch (IOException e) {
            return null;
        }
    }

    /** Waits for a leader and returns its name. */
    String leader() {
        String[] leaderName = new String[1];
        TestSupport.await(() -> {
            for (String coordinator : coordinators()) {
                JsonNode state = state(coordinator);
                if (state != null && state.path("leads").asBoolean()) {
                    leaderName[0] = coordinator;
                    return true;
                }
            }
            return false;
        });
        return leaderName[0];
    }

    /** Submits a route version by writing it to a coordinator's directory with an atomic rename. */
    void submit(String coordinator, String text) throws IOException {
        Path versions = Files.createDirectories(directory.resolve(coordinator).resolve("versions"));
        String name = "v" + ++submittedVersions + ".toml";
        Path temporaryFile = directory.resolve(coordinator).resolve(name + ".part");
        Files.writeString(temporaryFile, text);
        Files.move(temporaryFile, versions.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        eventLog.append(coordinator, "SUBMITTED " + name);
    }

    Path coordinatorDirectory(String coordinator) {
        return directory.resolve(coordinator);
    }

    /** Returns a route version with another deadline for class {@code read}; class {@code book} is unchanged. */
    static String routeVersion(int millis) {
        return "version = 1\n[class.read]\ndeadline = \"" + millis + "ms\"\n# end\n";
    }

    /** Waits until every coordinator reports this version as active and every node serves requests by it. */
    void awaitActive(long number) {
        try {
            TestSupport.await(3 * TestSupport.TIMEOUT_SECONDS, () -> activeVersion() == number);
            long since = eventLog.elapsedNanos();
            TestSupport.await(() -> {
                Map<String, Long> servedVersions = versionsSince(since);
                return nodes.keySet().stream().allMatch(n -> servedVersions.getOrDefault(n, -1L) == number);
            });
        } catch (AssertionError e) {
            throw new AssertionError(
                    "version " + number + " is not active at every coordinator and node; state of the coordinators: "
                            + coordinators().stream().map(this::state).toList() + "\n" + eventLog.tail(100),
                    e);
        }
    }

    /**
     * Returns, for each node, the route version in its response to the latest request sent at {@code since} or later.
     *
     * @param since a time in nanoseconds on the event log's clock
     */
    Map<String, Long> versionsSince(long since) {
        return loadGenerator.requests().stream()
                .filter(request -> request.routeVersion() != null && request.sentAt() >= since)
                .sorted(Comparator.comparingLong(RequestRecord::sentAt))
                .collect(Collectors.toMap(
                        RequestRecord::node,
                        request -> Long.parseLong(request.routeVersion()),
                        (earlier, latest) -> latest));
    }

    /**
     * Returns by how many nanoseconds a response by the older version was decided after one by the newer
     * version. A request that was sent after another one had completed was decided after it. The result is at
     * most 0 if all nodes switched at one moment, and {@code Long.MIN_VALUE} if either version served nothing.
     * Counts only class {@code read}, on which the versions differ, because a member in doubt continues to
     * serve the classes on which the versions agree.
     */
    long overlap(long older, long newer) {
        long firstNewAt = loadGenerator.requests().stream()
                .filter(request -> !request.unsafe()
                        && Long.toString(newer).equals(request.routeVersion())
                        && request.status() == 200)
                .mapToLong(RequestRecord::endedAt)
                .min()
                .orElse(Long.MAX_VALUE);
        long lastOldAt = loadGenerator.requests().stream()
                .filter(request -> !request.unsafe()
                        && Long.toString(older).equals(request.routeVersion())
                        && request.status() == 200)
                .mapToLong(RequestRecord::sentAt)
                .max()
                .orElse(Long.MIN_VALUE);
        return firstNewAt == Long.MAX_VALUE || lastOldAt == Long.MIN_VALUE ? Long.MIN_VALUE : lastOldAt - firstNewAt;
    }

    /**
     * Waits until all coordinators agree on the active version, none is pending, and every node serves requests by it.
     */
    void awaitStable() {
        TestSupport.await(3 * TestSupport.TIMEOUT_SECONDS, () -> {
            long number = activeVersion();
            if (number < 0) {
                return false;
            }
            Map<String, Long> servedVersions = versionsSince(eventLog.elapsedNanos() - 1_000_000_000L);
            return nodes.keySet().stream().allMatch(n -> servedVersions.getOrDefault(n, -1L) == number);
        });
    }

    /** Returns the version that all coordinators report as active with none pending; below 0 if they don't agree. */
    long activeVersion() {
        long number = -1;
        for (String coordinator : coordinators()) {
            JsonNode state = state(coordinator);
            long coordinatorsVersion = state == null || !state.path("pending").isNull()
                    ? -1
                    : state.path("inForce").path("number").asLong();
            if (coordinatorsVersion < 0 || number >= 0 && coordinatorsVersion != number) {
                return -1;
            }
            number = coordinatorsVersion;
        }
        return number;
    }

    /** Returns the largest {@link #overlap} of any two versions that served requests. */
    long worstOverlap() {
        List<Long> versions = loadGenerator.requests().stream()
                .filter(request -> request.routeVersion() != null && request.status() == 200)
                .map(request -> Long.parseLong(request.routeVersion()))
                .distinct()
                .sorted()
                .toList();
        long worstOverlap = Long.MIN_VALUE;
        for (int i = 0; i < versions.size(); i++) {
            for (int j = i + 1; j < versions.size(); j++) {
                worstOverlap = Math.max(worstOverlap, overlap(versions.get(i), versions.get(j)));
            }
        }
        return worstOverlap;
    }

    /**
     * Returns for each node the interval in which it switched, as seen by clients: from the sending of the last request
     * answered by the older version to the arrival of the first response by the newer one.
     */
    List<long[]> switchIntervals(long older, long newer) {
        List<long[]> intervals = new ArrayList<>();
        for (String node : nodes.keySet()) {
            long lastOldSentAt = loadGenerator.requests().stream()
                    .filter(request -> !request.unsafe()
                            && request.status() == 200
                            && request.node().equals(node)
                            && Long.toString(older).equals(request.routeVersion()))
                    .mapToLong(RequestRecord::sentAt)
                    .max()
                    .orElse(-1);
            long firstNewEndedAt = loadGenerator.requests().stream()
                    .filter(request -> !request.unsafe()
                            && request.status() == 200
                            && request.node().equals(node)
                            && Long.toString(newer).equals(request.routeVersion()))
                    .mapToLong(RequestRecord::endedAt)
                    .min()
                    .orElse(-1);
            if (lastOldSentAt >= 0 && firstNewEndedAt >= 0) {
                intervals.add(new long[] {lastOldSentAt, firstNewEndedAt});
            }
        }
        return intervals;
    }

    @Override
    public void close() throws IOException {
        super.close();
        for (ReservedPort port : coordinatorPorts.values()) {
            port.close();
        }
        try (Stream<Path> paths = Files.walk(directory)) {
            for (Path each : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(each);
            }
        }
    }
}

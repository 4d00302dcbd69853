package weldhitch.testkit.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import weldhitch.testkit.FaultInjectingProxy;
import weldhitch.testkit.NodeFixtures;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedHttpServer;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/**
 * Runs processes of the packaged node with their servers and one fake discovery service, and with a fault-injecting
 * link on every edge. Owns all of them and their temporary files. Used by one test thread.
 */
public class NodeFleet implements Closeable {
    /** The timeout that requests state, in milliseconds. */
    public static final long REQUEST_TIMEOUT_MILLIS = 3000;

    public final EventLog eventLog = new EventLog();
    public final CapacityLimitedDiscovery discovery;
    public final List<ScriptedHttpServer> servers = new ArrayList<>();
    public final Map<String, ManagedProcess> nodes = new LinkedHashMap<>();
    /** All processes that faults may target: the nodes, and the processes that a test adds. */
    public final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    /** Links by edge, for example {@code n0>list} and {@code n0>s1}. */
    public final Map<String, FaultInjectingProxy> links = new LinkedHashMap<>();

    public final LoadGenerator loadGenerator =
            new LoadGenerator(eventLog, NodeFleet::request, REQUEST_TIMEOUT_MILLIS, REQUEST_TIMEOUT_MILLIS + 3000);
    public final FaultInjector faultInjector;
    private final Map<String, String> serverAddresses = new LinkedHashMap<>();
    private final List<Path> temporaryFiles = new ArrayList<>();
    private final CountDownLatch closed = new CountDownLatch(1);

    /**
     * Starts the servers and the discovery service and writes the configurations; does not start the nodes.
     *
     * @param responseMillis processing time of each request at a server, in milliseconds
     * @param serversStartedAt start time of the servers, Unix time in milliseconds; 0 for a start long ago
     * @param useServerLinks whether nodes reach servers through links, which cost four threads per connection
     * @param discoveryFactory creates the discovery service that all nodes poll and that lists the servers
     */
    public NodeFleet(
            int nodeCount,
            int serverCount,
            long responseMillis,
            long serversStartedAt,
            boolean useServerLinks,
            DiscoveryFactory discoveryFactory)
            throws Exception {
        this(nodeCount, serverCount, responseMillis, serversStartedAt, useServerLinks, discoveryFactory, null);
    }

    /**
     * Starts the servers and the discovery service and writes the configurations and route configurations; does not
     * start the nodes.
     *
     * @param routeConfigFactory creates the route configuration of each node, or null for none
     */
    public NodeFleet(
            int nodeCount,
            int serverCount,
            long responseMillis,
            long serversStartedAt,
            boolean useServerLinks,
            DiscoveryFactory discoveryFactory,
            RouteConfigFactory routeConfigFactory)
            throws Exception {
        discovery = discoveryFactory.create(eventLog);
        discovery.setZones(this::zoneOf);
        for (int serverIndex = 0; serverIndex < serverCount; serverIndex++) {
            ScriptedHttpServer server = new ScriptedHttpServer("s" + serverIndex);
            server.byDefault(ScriptedHttpServer.delayed(responseMillis, ScriptedHttpServer.respond("s" + serverIndex)));
            servers.add(server);
            serverAddresses.put(
                    server.name(),
                    usesSharedLink(server) ? addLink("*>" + server.name(), server.address()) : server.address());
            discovery.put("s" + serverIndex, "ready", serversStartedAt);
        }
        for (int nodeIndex = 0; nodeIndex < nodeCount; nodeIndex++) {
            String name = "n" + nodeIndex;
            Map<String, String> addresses = new LinkedHashMap<>();
            for (ScriptedHttpServer server : servers) {
                addresses.put(
                        server.name(),
                        useServerLinks
                                ? addLink(name + ">" + server.name(), server.address())
                                : serverAddresses.get(server.name()));
            }
            String discoveryAddress = addLink(name + ">list", discovery.addressFor(name, addresses));
            Path configFile = Files.createTempFile("weldhitch-" + name, ".json");
            temporaryFiles.add(configFile);
            Files.writeString(
                    configFile,
                    customizeConfig(
                            name,
                            nodeConfig(
                                    name,
                                    nodeIndex,
                                    nodeCount,
                                    discoveryAddress,
                                    addresses,
                                    serversStartedAt,
                                    this::zoneOf)));
            String routeConfigOption = "";
            if (routeConfigFactory != null) {
                Path file = Files.createTempFile("weldhitch-" + name, ".toml");
                temporaryFiles.add(file);
                Files.writeString(file, routeConfigFactory.create(name, this));
                routeConfigOption = " --operator " + file;
            }
            nodes.put(
                    name,
                    new ManagedProcess(
                            eventLog,
                            name,
                            nodeCommand(routeConfigOption),
                            Map.of("GW_CONFIG", configFile.toString())));
        }
        processes.putAll(nodes);
        faultInjector = new FaultInjector(eventLog, processes, links);
    }

    /** Creates the discovery service; called after the event log has been created. */
    public interface DiscoveryFactory {
        /** Creates the service; called once, from the constructor. */
        CapacityLimitedDiscovery create(EventLog eventLog);
    }

    /** Returns the configuration to write for a node; a test may override it to change the given text. */
    protected String customizeConfig(String node, String text) {
        return text;
    }

    /** Returns the zone of a server; called from the constructor. */
    protected String zoneOf(String server) {
        return "a";
    }

    /**
     * Returns whether all nodes reach a server through one shared link, the edge {@code *>server}; called from the
     * constructor.
     */
    protected boolean usesSharedLink(ScriptedHttpServer server) {
        return false;
    }

    /** Creates the route configuration of a node as text. */
    public interface RouteConfigFactory {
        /** Creates the text; called once for each node, from the constructor. */
        String create(String node, NodeFleet fleet) throws IOException;
    }

    /** Adds a fault-injecting link for the given edge; returns the host and port on which the link listens. */
    public String addLink(String linkName, String address) throws IOException {
        FaultInjectingProxy proxy = new FaultInjectingProxy(address);
        links.put(linkName, proxy);
        return proxy.address();
    }

    /**
     * Returns the command in the deploy file, with a heap so small that many nodes fit on one machine, and with the jar
     * named by the system property {@code weldhitch.fleet.jar}, if it is set.
     */
    public static List<String> nodeCommand(String extraArguments) throws Exception {
        String jar = System.getProperty("weldhitch.fleet.jar", "");
        String command = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceFirst("^run = \"", "")
                .replaceFirst("\"$", "")
                .replaceFirst("-Xms\\S+", "-Xms8m")
                .replaceFirst("-Xmx\\S+", "-Xmx48m");
        if (!jar.isEmpty()) {
            command = command.replaceFirst("-XX:SharedArchiveFile=\\S+ ", "")
                    .replace("node/target/weldhitch-node.jar", jar);
        }
        return List.of("/bin/sh", "-c", command + extraArguments);
    }

    private static String nodeConfig(
            String name,
            int nodeIndex,
            int nodeCount,
            String discoveryAddress,
            Map<String, String> addresses,
            long serversStartedAt,
            UnaryOperator<String> zoneOf) {
        String cachedEndpoints = addresses.entrySet().stream()
                .map(entry -> CapacityLimitedDiscovery.entryJson(
                        entry.getKey(), entry.getValue(), "ready", serversStartedAt, zoneOf.apply(entry.getKey())))
                .collect(Collectors.joining(","));
        return new String(
                        NodeFixtures.configJson(discoveryAddress, cachedEndpoints, 512, ",\"membershipMode\":\"ask\""),
                        StandardCharsets.UTF_8)
                .replace("\"name\":\"n1\"", "\"name\":\"" + name + "\"")
                .replace("\"seed\":\"0f\"", "\"seed\":\"" + (100 + nodeIndex) + "\"")
                .replace("\"me\":0,\"siblings\":1", "\"me\":" + nodeIndex + ",\"siblings\":" + nodeCount);
    }

    /** Returns a request with {@link #REQUEST_TIMEOUT_MILLIS} as its timeout. */
    public static String request(String id, boolean unsafe) {
        String text = unsafe ? NodeFixtures.postRequest(id, "body") : NodeFixtures.getRequest(id);
        return text.replace("X-Expires-In: 8.000", "X-Expires-In: " + REQUEST_TIMEOUT_MILLIS / 1000.0);
    }

    /**
     * Starts all nodes simultaneously. Logs each node as READY once its readiness check succeeds, and sends load to it
     * from then on, as a front-end does.
     *
     * @param requestIntervalMillis milliseconds between requests to a node; 0 for no load
     */
    public void start(long requestIntervalMillis) throws Exception {
        for (ManagedProcess node : nodes.values()) {
            node.start();
        }
        for (ManagedProcess node : nodes.values()) {
            TestSupport.startDaemon(() -> {
                node.awaitPort();
                do {
                    if (isReady(node)) {
                        eventLog.append(node.name(), "READY");
                        if (requestIntervalMillis > 0) {
                            loadGenerator.addClient(node, requestIntervalMillis);
                        }
                        return;
                    }
                } while (!closed.await(20, TimeUnit.MILLISECONDS));
            });
        }
    }

    /** Waits for {@code millis} milliseconds; closing the fleet ends the wait early. */
    public void waitFor(long millis) throws InterruptedException {
        closed.await(millis, TimeUnit.MILLISECONDS);
    }

    private static boolean isReady(ManagedProcess node) {
        try {
            TestConnection connection =
                    new TestConnection(new Socket(InetAddress.getLoopbackAddress(), node.currentPort()));
            try (connection) {
                connection.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
                RawHttpMessage response = connection.readMessage();
                return response != null && response.status() == 200;
            }
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Waits until all nodes have been ready; returns when the last node became ready, in nanoseconds on the event log's
     * clock.
     */
    public long awaitAllReady() throws InterruptedException {
        long lastReadyAt = 0;
        for (String name : nodes.keySet()) {
            lastReadyAt = Math.max(
                    lastReadyAt,
                    eventLog.awaitEntry(
                                    0,
                                    60,
                                    entry -> entry.source().equals(name)
                                            && entry.event().equals("READY"))
                            .atNanos());
        }
        return lastReadyAt;
    }

    /**
     * Stops the load and checks the invariants.
     *
     * @param checkDrains whether to check also for requests to draining endpoints
     * @return all violations, one line each
     */
    public List<String> stopAndCheckInvariants(boolean checkDrains) throws IOException {
        loadGenerator.close();
        InvariantChecker checker = new InvariantChecker(eventLog, faultInjector, servers);
        // One second of tolerance for a busy machine; the node's own limit is 50 ms.
        List<String> violations =
                new ArrayList<>(checker.violations(loadGenerator.requests(), REQUEST_TIMEOUT_MILLIS, 1000));
        // Half a second of tolerance for the server's thread; the node's own limit is 100 ms.
        violations.addAll(checker.requestsAfterDisconnect(loadGenerator.requests(), 500));
        violations.addAll(checker.overstatedTimeouts(loadGenerator.requests(), 500));
        if (checkDrains) {
            violations.addAll(checker.requestsAfterDrain(discovery, List.copyOf(nodes.keySet()), 2050));
        }
        return violations;
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        loadGenerator.close();
        for (ManagedProcess process : processes.values()) {
            process.close();
        }
        for (FaultInjectingProxy proxy : links.values()) {
            proxy.close();
        }
        for (ScriptedHttpServer server : servers) {
            server.close();
        }
        discovery.close();
        for (Path file : temporaryFiles) {
            Files.deleteIfExists(file);
        }
    }
}

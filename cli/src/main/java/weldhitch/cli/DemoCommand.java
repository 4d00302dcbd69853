package weldhitch.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Starts a node with a few demo servers, each in its own process, so that a user can kill one and watch the requests.
 * All of them listen on loopback and end with this process.
 */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Starts a node with demo servers on loopback; prints curl commands that send requests to it.")
final class DemoCommand implements Callable<Integer> {
    @Option(
            names = "--port",
            defaultValue = "8080",
            description = "Port on which the node listens, 0 for any free port; default: 8080.")
    private int port;

    @Option(names = "--servers", defaultValue = "3", description = "Number of servers, 1 to 20; default: 3.")
    private int count;

    @Option(names = "--operator", paramLabel = "FILE", description = "Route configuration file of the node (TOML).")
    private Path routeConfigFile;

    @Spec
    private CommandSpec spec;

    private final List<Process> processes = new ArrayList<>();

    @Override
    public Integer call() throws Exception {
        if (port < 0 || port > 65535) {
            throw new ParameterException(spec.commandLine(), "--port: " + port + ", expected 0 to 65535");
        }
        if (count < 1 || count > 20) {
            throw new ParameterException(spec.commandLine(), "--servers: " + count + ", expected 1 to 20");
        }
        Path configFile = Files.createTempFile("weldhitch-demo", ".json");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> cleanUp(configFile), "end"));
        try (DemoDiscovery discovery = new DemoDiscovery()) {
            for (int serverNumber = 1; serverNumber <= count; serverNumber++) {
                startServer("s" + serverNumber, discovery);
            }
            Files.writeString(configFile, nodeConfig(port, discovery));
            List<String> arguments = new ArrayList<>(List.of("-Xmx64m", "-cp", classPath(), "weldhitch.Main", "serve"));
            if (routeConfigFile != null) {
                arguments.addAll(List.of("--operator", routeConfigFile.toString()));
            }
            Process nodeProcess = startJvm(arguments, configFile);
            try (BufferedReader log = nodeProcess.errorReader(StandardCharsets.UTF_8)) {
                String line = log.readLine();
                // With port 0 the node logs the port that it got. A free port chosen here could be taken before the
                // node binds to it.
                Matcher matcher = Pattern.compile("listens on .*:(\\d+)$").matcher(String.valueOf(line));
                if (!matcher.find()) {
                    System.err.println("weldhitch: node did not start: " + line);
                    return 1;
                }
                String nodePort = matcher.group(1);
                System.out.println("The node is listening. To send an idempotent request, which may be retried:");
                System.out.println(
                        "    curl -H 'X-Trace-Id: '$RANDOM$RANDOM http://127.0.0.1:" + nodePort + "/look-up");
                System.out.println("To send a non-idempotent request, which is never executed twice:");
                System.out.println(
                        "    curl -H 'X-Trace-Id: '$RANDOM$RANDOM -d cow http://127.0.0.1:" + nodePort + "/enrol");
                System.out.println("Kill a server (kill -9 with its process id) and send more. Ctrl-C stops all.");
                for (line = log.readLine(); line != null; line = log.readLine()) {
                    System.out.println("node: " + line);
                }
            }
            return nodeProcess.waitFor();
        }
    }

    private void startServer(String name, DemoDiscovery discovery) throws IOException {
        Process server = startJvm(
                List.of(
                        "-Xmx32m",
                        "-Dsun.net.httpserver.nodelay=true",
                        "-cp",
                        classPath(),
                        DemoServer.class.getName(),
                        name),
                null);
        String address = server.inputReader(StandardCharsets.UTF_8).readLine();
        if (address == null) {
            throw new IOException("server " + name + " did not start");
        }
        discovery.add(name, address);
        // Like a real discovery service, this one notices a failure only after some time.
        server.onExit().thenRun(() -> discovery.scheduleRemoval(name));
        System.out.println("server " + name + " is process " + server.pid() + " on " + address);
    }

    private Process startJvm(List<String> arguments, Path configFile) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command);
        if (configFile != null) {
            builder.environment().put("GW_CONFIG", configFile.toString());
        }
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        return process;
    }

    private void cleanUp(Path configFile) {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
        }
        try {
            Files.deleteIfExists(configFile);
        } catch (IOException e) {
            System.err.println("weldhitch: could not delete temporary file " + configFile);
        }
    }

    private static String classPath() {
        return System.getProperty("java.class.path");
    }

    private static String nodeConfig(int port, DemoDiscovery discovery) {
        return """
            {"name":"demo-%d","listen":"127.0.0.1:%d","discovery":"%s","seed":"0f","limits":{"sockets":256},
             "known":%s,
             "settings":{"areas":["here"],"az":"here","layer":0,"me":0,"siblings":1,"quantumS":0.002,"classes":[
               {"name":"look-up","effect":"read_like","aimS":0.6,"deadlineS":3.0},
               {"name":"enrol","effect":"non_idempotent","aimS":1.2,"deadlineS":3.0}],
              "limits":{"maxAttempts":4,"cancel":true,"retryAfter":true,"maxRetryAfterS":1.5,"dialTimeoutS":0.15,
                "keepaliveS":5.0},
              "rules":{"drainGraceS":2.0,"askEveryS":10.0,"startCapacity":1,"coldS":0,"fallMultiple":3,
                "overloadForS":3}}}
            """.formatted(port, port, discovery.address(), discovery.completeList());
    }
}

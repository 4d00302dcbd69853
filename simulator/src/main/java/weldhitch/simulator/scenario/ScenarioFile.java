package weldhitch.simulator.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import weldhitch.decision.settings.DeduplicationScope;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.RequestClass;
import weldhitch.routeconfig.BoundedFileReader;
import weldhitch.routeconfig.TomlDocument;
import weldhitch.routeconfig.TomlSyntaxException;
import weldhitch.simulator.scenario.Scenario.ClassWorkload;
import weldhitch.simulator.scenario.Scenario.Fault;
import weldhitch.simulator.scenario.Scenario.FaultType;
import weldhitch.simulator.scenario.Scenario.LoadPoint;
import weldhitch.simulator.scenario.Scenario.ServerGroup;

/** Reads a scenario file: TOML, validated against the published JSON schema and then for consistency. Stateless. */
public final class ScenarioFile {
    private static final Pattern DURATION = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(us|ms|s|m|h)");
    private static final Map<String, Double> NANOS_BY_UNIT =
            Map.of("us", 1e3, "ms", 1e6, "s", 1e9, "m", 60e9, "h", 3600e9);
    private static final int MAX_FILE_BYTES = 1 << 20;
    private static final int MAX_LISTED_PROBLEMS = 100;
    private static final int MAX_LISTED_NAMES = 20;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

    private ScenarioFile() {}

    /** Thrown for an invalid scenario file; lists all problems, each with file, key and expected value. */
    public static final class InvalidScenarioException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<String> problems;

        InvalidScenarioException(List<String> problems) {
            super(String.join(System.lineSeparator(), problems));
            this.problems = List.copyOf(problems);
        }

        /** Returns all problems, one message each. */
        public List<String> problems() {
            return problems;
        }
    }

    /** Reads and validates a file; blocks on file I/O. */
    public static Scenario read(Path file) throws IOException, InvalidScenarioException {
        byte[] bytes = BoundedFileReader.read(file, MAX_FILE_BYTES, BoundedFileReader.MAX_DURATION_AT_START);
        return parse(
                file.toString(),
                StandardCharsets.UTF_8
                        .newDecoder()
                        .decode(ByteBuffer.wrap(bytes))
                        .toString());
    }

    /**
     * Reads and validates the text of a scenario.
     *
     * @param file name of the file in problem messages
     */
    public static Scenario parse(String file, String text) throws InvalidScenarioException {
        JsonNode root;
        try {
            root = TomlDocument.parse(text).root();
        } catch (TomlSyntaxException e) {
            throw new InvalidScenarioException(List.of(file + ":" + e.line() + ": " + e.found() + "; " + e.expected()));
        }
        List<String> problems = new ArrayList<>();
        for (ValidationMessage message : schema().validate(root)) {
            problems.add(file + ": " + message.getMessage());
        }
        if (problems.isEmpty()) {
            try {
                Scenario scenario = toScenario(root);
                validate(file, scenario, problems);
                if (problems.isEmpty()) {
                    return scenario;
                }
            } catch (IllegalArgumentException e) {
                problems.add(file + ": " + e.getMessage());
            }
        }
        throw new InvalidScenarioException(listed(file, problems));
    }

    private static List<String> listed(String file, List<String> problems) {
        if (problems.size() <= MAX_LISTED_PROBLEMS) {
            return problems;
        }
        List<String> listed = new ArrayList<>(problems.subList(0, MAX_LISTED_PROBLEMS));
        listed.add(file + ": " + (problems.size() - MAX_LISTED_PROBLEMS) + " more problems are not listed");
        return listed;
    }

    /** Opens the JSON schema of scenario files; the caller closes the stream. */
    public static InputStream openSchema() {
        return ScenarioFile.class.getResourceAsStream("/weldhitch/simulator/scenario.schema.json");
    }

    private static JsonSchema schema() {
        return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(openSchema());
    }

    private static Scenario toScenario(JsonNode root) {
        JsonNode cluster = root.path("site");
        JsonNode links = root.path("links");
        JsonNode clients = root.path("callers");
        List<String> zones = new ArrayList<>();
        cluster.path("zones").forEach(z -> zones.add(z.textValue()));
        List<ServerGroup> serverGroups = new ArrayList<>();
        root.path("servers")
                .forEach(s -> serverGroups.add(new ServerGroup(
                        s.path("count").intValue(),
                        s.path("zone").textValue(),
                        distribution(s.get("speed"), new Distribution.Constant(1)),
                        distribution(s.get("slots"), new Distribution.Constant(16)),
                        distribution(s.get("queue"), new Distribution.Constant(32)),
                        s.path("cold-share").asDouble(1),
                        durationNanos(s.get("cold-span"), 0))));
        List<ClassWorkload> workloads = new ArrayList<>();
        root.path("class")
                .forEach(c -> workloads.add(new ClassWorkload(
                        new RequestClass(
                                c.path("name").textValue(),
                                c.path("effect").textValue().equals("safe")
                                        ? Idempotency.IDEMPOTENT
                                        : Idempotency.NON_IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0,
                                durationNanos(c.get("aim"), 0),
                                0,
                                durationNanos(c.get("deadline"), 0),
                                c.path("worth").asDouble(1),
                                c.path("late-worth").asDouble(0),
                                false),
                        c.path("share").doubleValue(),
                        distribution(c.get("work"), null),
                        distribution(c.get("waits"), new Distribution.Constant(0)))));
        List<LoadPoint> loadCurve = new ArrayList<>();
        root.path("curve")
                .forEach(p -> loadCurve.add(new LoadPoint(
                        durationNanos(p.get("at"), 0),
                        p.path("factor").doubleValue(),
                        p.path("class").textValue())));
        List<Fault> faults = new ArrayList<>();
        root.path("event")
                .forEach(e -> faults.add(new Fault(
                        durationNanos(e.get("at"), 0),
                        FaultType.valueOf(e.path("kind")
                                .textValue()
                                .toUpperCase(Locale.ROOT)
                                .replace('-', '_')),
                        durationNanos(e.get("for"), NANOS_PER_SECOND),
                        e.path("servers")
                                .asInt(
                                        e.has("share")
                                                ? -(int) Math.ceil(
                                                        1000 * e.path("share").doubleValue())
                                                : 1),
                        e.path("zone").textValue(),
                        e.path("node").asInt(0),
                        e.path("factor").asDouble(4),
                        durationNanos(e.get("every"), NANOS_PER_SECOND))));
        return new Scenario(
                root.path("name").textValue(),
                durationNanos(root.get("length"), 0),
                zones,
                cluster.path("nodes").intValue(),
                cluster.path("tier").asInt(0),
                distribution(
                        cluster.get("list-delay"),
                        new Distribution.Uniform(100 * NANOS_PER_MILLI, 900 * NANOS_PER_MILLI)),
                cluster.path("second-copies").asBoolean(true),
                cluster.path("max-attempts").asInt(6),
                cluster.path("cross-zone-price").asDouble(0),
                distribution(links.get("same-zone"), new Distribution.Constant(NANOS_PER_MILLI / 2)),
                distribution(links.get("cross-zone"), new Distribution.Constant(NANOS_PER_MILLI)),
                links.path("loss").asDouble(0),
                serverGroups,
                workloads,
                clients.path("load").asDouble(0),
                clients.path("per-second").asDouble(0),
                clients.path("retries").asInt(3),
                clients.path("try-share").asDouble(0.55),
                durationNanos(clients.get("backoff"), 100 * NANOS_PER_MILLI),
                clients.path("honour").asDouble(0.2),
                loadCurve,
                faults);
    }

    private static void validate(String file, Scenario scenario, List<String> problems) {
        List<String> classNames =
                scenario.workloads().stream().map(w -> w.requestClass().name()).toList();
        Set<String> distinctClassNames = Set.copyOf(classNames);
        if (distinctClassNames.size() < classNames.size()) {
            problems.add(file + ": class: two have the same name, expected a different name for each of "
                    + shortened(classNames));
        }
        Set<String> zones = Set.copyOf(scenario.zones());
        for (ServerGroup group : scenario.serverGroups()) {
            validateZone(file, "servers.zone", group.zone(), zones, problems);
        }
        long previousOffset = 0;
        for (LoadPoint point : scenario.loadCurve()) {
            if (point.requestClass() != null && !distinctClassNames.contains(point.requestClass())) {
                problems.add(
                        file + ": curve.class: " + point.requestClass() + ", expected one of " + shortened(classNames));
            }
            if (point.requestClass() == null && point.offset() < previousOffset) {
                problems.add(file + ": curve.at: earlier than the previous point, expected points in order of time");
            }
            previousOffset = point.requestClass() == null ? point.offset() : previousOffset;
        }
        for (Fault fault : scenario.faults()) {
            validateZone(file, "event.zone", fault.zone(), zones, problems);
            if (fault.type() == FaultType.CUT_ZONE && fault.zone() == null) {
                problems.add(file + ": event: cut-zone without a zone, expected one of " + shortened(scenario.zones()));
            }
            if (fault.nodeIndex() >= scenario.nodeCount()) {
                problems.add(
                        file + ": event.node: " + fault.nodeIndex() + ", expected 0 to " + (scenario.nodeCount() - 1));
            }
        }
    }

    private static void validateZone(String file, String key, String zone, Set<String> zones, List<String> problems) {
        if (zone != null && !zones.contains(zone)) {
            problems.add(file + ": " + key + ": " + zone + ", expected one of " + shortened(zones));
        }
    }

    /** Returns the first names of a list that may be long. */
    private static String shortened(Collection<String> names) {
        return names.stream().sorted().limit(MAX_LISTED_NAMES).toList()
                + (names.size() > MAX_LISTED_NAMES ? " and " + (names.size() - MAX_LISTED_NAMES) + " more" : "");
    }

    private static Distribution distribution(JsonNode value, Distribution defaultValue) {
        if (value == null) {
            return defaultValue;
        }
        if (!value.isObject()) {
            return new Distribution.Constant(numberOrNanos(value));
        }
        return switch (value.path("kind").textValue()) {
            case "uniform" ->
                new Distribution.Uniform(numberOrNanos(value.get("low")), numberOrNanos(value.get("high")));
            case "exponential" -> new Distribution.Exponential(numberOrNanos(value.get("mean")));
            case "lognormal" ->
                new Distribution.LogNormal(
                        numberOrNanos(value.get("mean")), value.path("cv").doubleValue());
            case "pareto" ->
                new Distribution.Pareto(
                        numberOrNanos(value.get("mean")), value.path("shape").doubleValue());
            default -> new Distribution.Constant(numberOrNanos(value.get("mean")));
        };
    }

    private static double numberOrNanos(JsonNode value) {
        return value.isNumber() ? value.doubleValue() : durationNanos(value, 0);
    }

    private static long durationNanos(JsonNode value, long defaultValue) {
        Matcher matcher = value == null ? null : DURATION.matcher(value.textValue());
        return matcher == null || !matcher.matches()
                ? defaultValue
                : (long) (Double.parseDouble(matcher.group(1)) * NANOS_BY_UNIT.get(matcher.group(2)));
    }
}

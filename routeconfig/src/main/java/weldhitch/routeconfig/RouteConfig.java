package weldhitch.routeconfig;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.routing.RoutePattern;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RoutePolicy.Backoff;
import weldhitch.decision.routing.RoutePolicy.HedgeAfterDelay;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.HedgingDisabled;
import weldhitch.decision.routing.RoutePolicy.HedgingPolicy;
import weldhitch.decision.routing.RoutePolicy.RetryAfterBounds;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.routing.RouteTable.Route;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.fleet.locality.LocalityRules;
import weldhitch.fleet.member.FleetSettings;
import weldhitch.routeconfig.RuleSection.Kind;
import weldhitch.routeconfig.RuleSection.Setting;

/**
 * A route configuration as read from a file: its problems and, if there are no errors, the routes that it
 * compiles to. The schema is described in docs/operator-file.md. Immutable.
 */
public final class RouteConfig {
    /** The last line of every file: a truncated file does not have it. */
    public static final String END_MARKER = "# end";

    private static final int MAX_BYTES = 1 << 20;

    private final List<ConfigProblem> problems;
    private final RouteTable routeTable;
    private final Map<String, Map<RuleKey, Setting>> settingsByRoute;

    private final BalancerSettings platform;
    private final CaptureSettings capture;
    private final FleetSettings fleet;
    private final LocalityRules locality;

    private RouteConfig(
            List<ConfigProblem> problems,
            RouteTable routeTable,
            Map<String, Map<RuleKey, Setting>> settingsByRoute,
            BalancerSettings platform,
            CaptureSettings capture,
            FleetSettings fleet,
            LocalityRules locality) {
        this.fleet = fleet;
        this.locality = locality;
        this.platform = platform;
        this.capture = capture;
        this.problems = problems.stream()
                .sorted(Comparator.comparingInt(ConfigProblem::line))
                .toList();
        this.routeTable = routeTable;
        this.settingsByRoute = settingsByRoute;
    }

    /**
     * One setting that is in effect for a request. Immutable.
     *
     * @param key the setting's key in the file
     * @param value the setting, formatted for people
     * @param source the section that made the setting and its line, or {@code platform}
     */
    public record EffectiveRule(String key, String value, String source) {}

    /**
     * The settings in effect for a request. Immutable.
     *
     * @param route the route that matches; null if none does
     * @param rules the settings in effect
     */
    public record Explanation(String route, List<EffectiveRule> rules) {}

    /**
     * Reads and validates a file; blocks on it.
     *
     * @param platform the platform's settings; if null, only what does not depend on them is checked
     */
    public static RouteConfig read(Path file, BalancerSettings platform) {
        try {
            BasicFileAttributes attributesBefore = Files.readAttributes(file, BasicFileAttributes.class);
            if (attributesBefore.size() > MAX_BYTES) {
                return unreadable(file, 0, "holds " + attributesBefore.size() + " bytes", "keep to " + MAX_BYTES);
            }
            byte[] bytes = Files.readAllBytes(file);
            BasicFileAttributes attributesAfter = Files.readAttributes(file, BasicFileAttributes.class);
            if (bytes.length != attributesAfter.size()
                    || !attributesBefore.lastModifiedTime().equals(attributesAfter.lastModifiedTime())) {
                return unreadable(
                        file, 0, "was written to while it was read", "write a file beside it and rename that");
            }
            return parse(file.toString(), bytes, platform);
        } catch (IOException e) {
            return unreadable(file, 0, "cannot be read: " + e, "name a file that this user may read");
        }
    }

    private static RouteConfig unreadable(Path file, int line, String description, String remedy) {
        return new RouteConfig(
                List.of(new ConfigProblem(file.toString(), line, "", description, remedy, false)),
                null,
                Map.of(),
                null,
                null,
                null,
                null);
    }

    /**
     * Validates a file's text.
     *
     * @param file the name of the file in problems
     * @param bytes the text in UTF-8
     * @param platform the platform's settings; if null, only what does not depend on them is checked
     */
    public static RouteConfig parse(String file, byte[] bytes, BalancerSettings platform) {
        List<ConfigProblem> problems = new ArrayList<>();
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            return unreadable(Path.of(file), 0, "is not UTF-8", "save it as UTF-8");
        }
        int lineCount = (int) text.chars().filter(c -> c == '\n').count() + (text.endsWith("\n") ? 0 : 1);
        if (!text.stripTrailing().endsWith("\n" + END_MARKER)) {
            problems.add(new ConfigProblem(
                    file,
                    lineCount,
                    "",
                    "does not end with the line \"" + END_MARKER + "\"",
                    "a file cut short is not taken: write the whole of it, with this line last",
                    false));
        }
        JsonNode root;
        try {
            root = new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            // The parser detects a duplicate key only where the next key begins.
            int duplicateKeyLine =
                    e.getOriginalMessage().contains("Duplicate key") ? new TomlLineIndex(text).firstDuplicateLine() : 0;
            int line = duplicateKeyLine > 0
                    ? duplicateKeyLine
                    : e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            problems.add(new ConfigProblem(
                    file,
                    line,
                    "",
                    "is no TOML: " + e.getOriginalMessage().lines().findFirst().orElse(""),
                    "mend this line; what comes after it was not looked at",
                    false));
            return new RouteConfig(problems, null, Map.of(), platform, null, null, null);
        }
        TomlLineIndex lineIndex = new TomlLineIndex(text);
        RouteConfigReader reader = new RouteConfigReader(file, lineIndex, problems);
        List<RuleSection> sections = reader.read(root);
        CaptureSettings capture = new CaptureSectionReader(reader).read(root.get("capture"));
        FleetSettings fleet = new FleetSectionReader(reader).read(root.get("fleet"));
        LocalityRules locality = new LocalitySectionReader(
                        reader,
                        platform,
                        sections.stream()
                                .filter(s -> s.kind() == Kind.ROUTE)
                                .map(RuleSection::name)
                                .collect(Collectors.toSet()))
                .read(root);
        RouteConfigValidator validator = new RouteConfigValidator(file, lineIndex, platform, problems);
        validator.validate(sections);
        Map<String, Map<RuleKey, Setting>> settingsByRoute = new LinkedHashMap<>();
        List<Route> routes = new ArrayList<>();
        compile(sections, platform, validator, routes, settingsByRoute);
        boolean usable = problems.stream().allMatch(ConfigProblem::warning);
        return new RouteConfig(
                problems,
                usable ? new RouteTable(routes) : null,
                settingsByRoute,
                platform,
                usable ? capture : null,
                usable ? fleet : null,
                usable ? locality : null);
    }

    /**
     * Compiles sections to routes. A route without a class becomes one for each class, as each class has
     * defaults of its own.
     */
    private static void compile(
            List<RuleSection> sections,
            BalancerSettings platform,
            RouteConfigValidator validator,
            List<Route> routes,
            Map<String, Map<RuleKey, Setting>> settingsByRoute) {
        Map<RuleKey, Setting> defaults = new EnumMap<>(RuleKey.class);
        Map<String, RuleSection> sectionByClass = new LinkedHashMap<>();
        Set<RoutePattern> declaredPatterns =
                sections.stream().map(RuleSection::pattern).collect(Collectors.toSet());
        for (RuleSection section : sections) {
            if (section.kind() == Kind.DEFAULTS) {
                defaults.putAll(section.settings());
            } else if (section.kind() == Kind.CLASS) {
                sectionByClass.put(section.name(), section);
            }
        }
        Set<String> classNames = new TreeSet<>(sectionByClass.keySet());
        if (platform != null) {
            platform.classes().forEach(c -> classNames.add(c.name()));
        }
        for (RuleSection section : sections) {
            RoutePattern pattern = section.pattern();
            String requestClass = pattern.requestClass();
            RuleSection classSection = section.kind() == Kind.ROUTE ? sectionByClass.get(requestClass) : null;
            addRoute(section, section.name(), pattern, classSection, defaults, validator, routes, settingsByRoute);
            for (String className : requestClass == null ? classNames : Set.<String>of()) {
                RoutePattern narrowed =
                        new RoutePattern(className, pattern.method(), pattern.segments(), pattern.prefix());
                if (section.kind() == Kind.ROUTE
                        ? !declaredPatterns.contains(narrowed)
                        : !sectionByClass.containsKey(className)) {
                    addRoute(
                            section,
                            section.name() + "@" + className,
                            narrowed,
                            section.kind() == Kind.ROUTE ? sectionByClass.get(className) : null,
                            defaults,
                            validator,
                            routes,
                            settingsByRoute);
                }
            }
        }
    }

    private static void addRoute(
            RuleSection section,
            String name,
            RoutePattern pattern,
            RuleSection classSection,
            Map<RuleKey, Setting> defaults,
            RouteConfigValidator validator,
            List<Route> routes,
            Map<String, Map<RuleKey, Setting>> settingsByRoute) {
        Map<RuleKey, Setting> merged =
                section.mergedOver(classSection == null ? defaults : classSection.mergedOver(defaults));
        Map<RuleKey, Setting> settings = validator.effectiveSettings(merged, section, pattern.requestClass());
        String routeName = section.kind() == Kind.CLASS ? "class " + name : name;
        routes.add(new Route(routeName, section.kind().ordinal(), pattern, toRoutePolicy(settings)));
        settingsByRoute.put(routeName, settings);
    }

    private static RoutePolicy toRoutePolicy(Map<RuleKey, Setting> settings) {
        Long deadline = settingValue(settings, RuleKey.DEADLINE, Long.class);
        Long attemptTimeout = settingValue(settings, RuleKey.ATTEMPT_TIMEOUT, Long.class);
        Integer attempts = settingValue(settings, RuleKey.ATTEMPTS, Integer.class);
        Set<?> retryOn = settingValue(settings, RuleKey.RETRY_ON, Set.class);
        Map<?, ?> tenants = settingValue(settings, RuleKey.TENANTS, Map.class);
        Map<String, Double> tenantQuotas = new LinkedHashMap<>();
        if (tenants != null) {
            tenants.forEach((tenant, perSecond) -> tenantQuotas.put((String) tenant, (Double) perSecond));
        }
        return new RoutePolicy(
                deadline == null ? 0 : deadline,
                attemptTimeout == null ? 0 : attemptTimeout,
                attempts == null ? 0 : attempts,
                settingValue(settings, RuleKey.BACKOFF, Backoff.class),
                retryOn == null
                        ? RoutePolicy.RETRYABLE
                        : retryOn.stream().map(AttemptOutcome.class::cast).collect(Collectors.toSet()),
                settingValue(settings, RuleKey.BUDGET, RetryBudgetSettings.class),
                settingValue(settings, RuleKey.HEDGE, HedgingPolicy.class),
                settingValue(settings, RuleKey.RETRY_AFTER, RetryAfterBounds.class),
                tenantQuotas);
    }

    private static <T> T settingValue(Map<RuleKey, Setting> settings, RuleKey key, Class<T> type) {
        Setting setting = settings.get(key);
        return setting == null ? null : type.cast(setting.value());
    }

    /** Errors and warnings, by line; empty if there are none. */
    public List<ConfigProblem> problems() {
        return problems;
    }

    /** The problems that prevent the file from being used. */
    public List<ConfigProblem> errors() {
        return problems.stream().filter(p -> !p.warning()).toList();
    }

    /** Whether the file has no errors, so that it can be activated. */
    public boolean isUsable() {
        return routeTable != null;
    }

    /**
     * The routes that the file compiles to.
     *
     * @throws IllegalStateException if the file is not {@link #isUsable}
     */
    public RouteTable routeTable() {
        if (routeTable == null) {
            throw new IllegalStateException("a file with errors makes no routes");
        }
        return routeTable;
    }

    /** The capture settings; null if the file has none, or is not {@link #isUsable}. */
    public CaptureSettings capture() {
        return capture;
    }

    /** How the node takes part in its fleet; null if the file does not say, or is not {@link #isUsable}. */
    public FleetSettings fleet() {
        return fleet;
    }

    /** The locality rules; null if the file has none, or is not {@link #isUsable}. */
    public LocalityRules locality() {
        return locality;
    }

    /**
     * The route that matches a request and the settings in effect for it. The file must be {@link #isUsable}.
     */
    public Explanation explain(String requestClass, String method, String target) {
        Route route = routeTable().match(requestClass, method, target);
        Map<RuleKey, Setting> settings = route == null ? Map.of() : settingsByRoute.get(route.name());
        List<EffectiveRule> effectiveRules = new ArrayList<>();
        for (RuleKey key : RuleKey.values()) {
            Setting setting = settings.get(key);
            if (key != RuleKey.EXPECTED_RATE) {
                effectiveRules.add(
                        setting == null
                                ? new EffectiveRule(key.tomlName, platformDefault(key, requestClass), "platform")
                                : new EffectiveRule(
                                        key.tomlName,
                                        formatValue(setting.value()),
                                        setting.source() + ", line " + setting.line()));
            }
        }
        return new Explanation(route == null ? null : route.group(), effectiveRules);
    }

    /**
     * The setting in effect if the file does not make it; {@code -} if the node decides it by itself, or it
     * is not known here.
     */
    private String platformDefault(RuleKey key, String requestClass) {
        if (platform == null) {
            return "-";
        }
        return switch (key) {
            case DEADLINE ->
                platform.classes().stream()
                        .filter(c -> c.name().equals(requestClass))
                        .map(c -> ValueFormat.formatDuration(c.deadline()))
                        .findFirst()
                        .orElse("-");
            case ATTEMPTS -> Integer.toString(platform.limits().maxAttempts());
            case HEDGE -> platform.limits().hedgingAllowed() ? "-" : "off";
            case RETRY_AFTER ->
                platform.limits().retryAfterAllowed()
                        ? "min 0us, max "
                                + ValueFormat.formatDuration(platform.limits().maxRetryAfter())
                        : "none";
            default -> "-";
        };
    }

    private static String formatValue(Object value) {
        if (value instanceof Long nanos) {
            return ValueFormat.formatDuration(nanos);
        }
        if (value instanceof Backoff b) {
            return "base " + ValueFormat.formatDuration(b.base()) + ", max " + ValueFormat.formatDuration(b.max());
        }
        if (value instanceof RetryAfterBounds b) {
            return "min " + ValueFormat.formatDuration(b.min()) + ", max " + ValueFormat.formatDuration(b.max());
        }
        if (value instanceof RetryBudgetSettings b) {
            return "share " + ValueFormat.formatNumber(b.retryRatio()) + ", floor "
                    + ValueFormat.formatNumber(b.minRetriesPerSecond()) + " a second";
        }
        if (value instanceof HedgeAfterDelay h) {
            return "after " + ValueFormat.formatDuration(h.delay());
        }
        if (value instanceof HedgeAtPercentile h) {
            return "after percentile " + ValueFormat.formatNumber(h.percentile());
        }
        if (value instanceof Set<?> outcomes) {
            return String.join(
                    ", ",
                    OutcomeNames.namesOf(
                            outcomes.stream().map(AttemptOutcome.class::cast).collect(Collectors.toSet())));
        }
        return value instanceof HedgingDisabled ? "off" : String.valueOf(value);
    }
}

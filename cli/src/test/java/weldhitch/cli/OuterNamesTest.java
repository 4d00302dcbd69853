package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Member;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.MethodParam;
import picocli.CommandLine.Model.OptionSpec;
import weldhitch.capture.format.DocumentCodec;
import weldhitch.decision.routing.RoutePolicy;

/**
 * Compares {@code docs/OUTER-NAMES.md} with the code. It guards against a rename that changes what the process reads
 * or writes: an option, a key of a file, a header, a field of a message or of a stored document, a constant that is
 * written out. Such a rename compiles and may pass all other tests, as both sides change together, but breaks clients,
 * scripts, stored captures and members of another version. Where the change is intended, the page changes with it.
 */
class OuterNamesTest {
    /** The tests run with the repository's root as the working directory. */
    private static final Path ROOT = Path.of("").toAbsolutePath();

    private static final Path PAGE = ROOT.resolve("docs/OUTER-NAMES.md");

    private static final Path SCENARIO_SCHEMA =
            ROOT.resolve("simulator/src/main/resources/weldhitch/simulator/scenario.schema.json");

    private static final String JAVA_NAMES = "Written out under the Java name";

    private static final String[] RENAMED_SECTIONS = {
        "JSON fields and constants", "Stored document fields", "Capture: snapshot document (CBOR), names given by"
    };

    /** Sections of settings, configuration files, headers and protocols, whose names stand in code as literals. */
    private static final String[] LITERAL_SECTIONS = {
        "HTTP to and from clients",
        "HTTP to and from back ends",
        "Discovery protocol",
        "Simulator adapter",
        "Node configuration",
        "Node settings",
        "Setting names in error messages",
        "Route configuration",
        "Environment",
        "Keys as error messages spell them",
        "HTTP methods, paths, headers, status",
        "Settings keys and values",
        "Error kinds",
        "HTTP headers, methods, paths and statuses: client library",
        "HTTP headers, paths and statuses: test kit",
        "JSON fields of the discovery list",
        "JSON keys of a node's configuration",
        "Capture: manifest.json fields",
        "Capture: snapshot document (CBOR), names that the upgrade"
    };

    /** Owners whose names are derived from enum constants, not literals; {@link #valuesOfRetryOn} holds them. */
    private static final String RETRY_OUTCOMES = "OutcomeNames";

    /** Classes whose literals in the form of a name are keys or headers, so that each of them stands on the page. */
    private static final List<String> KEY_READERS = List.of(
            "Headers",
            "EndpointList",
            "Adapter",
            "LineFields",
            "NodeConfig",
            "FlatSettingsParser",
            "RouteConfigReader",
            "RoutePatternReader",
            "RuleKey",
            "RuleSettingsReader",
            "CaptureSectionReader",
            "FleetSectionReader",
            "LocalitySectionReader",
            "SpillPolicyReader",
            "TomlValueReader",
            "CoordinatorSettingsParser",
            "WeldhitchClient",
            "NodeConnection",
            "Manifest");

    /** Words of messages that stand alone in a literal of a {@link #KEY_READERS key reader}. */
    private static final Set<String> MESSAGE_WORDS = Set.of("template", "above", "below", "missing");

    /** Rows whose first cell is a description, not a class. */
    private static final List<String> DESCRIBED_OWNERS = List.of("any class in a stack", "message records");

    private static OuterNamesPage page;
    private static ProjectTypes types;
    private static SourceLiterals literals;

    @BeforeAll
    static void readPageAndCode() throws Exception {
        page = OuterNamesPage.read(PAGE);
        types = ProjectTypes.load(ROOT);
        literals = SourceLiterals.read(ROOT);
    }

    // Command line

    @Test
    void verbs() {
        CommandLine commandLine = Weldhitch.commandLine();
        List<String> names = pageRow("Command line", "Weldhitch").spans();
        assertEquals(
                commandLine.getSubcommands().keySet(),
                names.stream()
                        .filter(name -> name.matches("[a-z]+") && !name.equals(commandLine.getCommandName()))
                        .collect(Collectors.toSet()),
                "verbs");
        assertTrue(names.contains(commandLine.getCommandName()), "the program's name");
        assertTrue(names.contains(commandLine.getCommandSpec().version()[0]), "the version text");
    }

    @Test
    void subcommands() {
        Set<String> inCode = new TreeSet<>();
        for (CommandLine verb : visibleVerbs()) {
            verb.getSubcommands().keySet().forEach(name -> inCode.add(verb.getCommandName() + " " + name));
        }
        Set<String> verbNames =
                visibleVerbs().stream().map(CommandLine::getCommandName).collect(Collectors.toSet());
        Set<String> onPage = page.rows("Command line").stream()
                .flatMap(row -> row.spans().stream())
                .filter(span -> span.matches("[a-z]+ [a-z]+") && verbNames.contains(span.split(" ")[0]))
                .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(inCode, onPage);
    }

    /** Former verbs are left out: they run the commands of the present ones. */
    private static List<CommandLine> visibleVerbs() {
        return Weldhitch.commandLine().getSubcommands().values().stream()
                .filter(verb -> !verb.getCommandSpec().usageMessage().hidden())
                .toList();
    }

    @Test
    void options() {
        Map<String, Set<String>> inCode = new TreeMap<>();
        collectOptions(Weldhitch.commandLine().getCommandSpec(), inCode);
        Map<String, Set<String>> onPage = new TreeMap<>();
        for (OuterNamesPage.Row row : page.rows("Command line")) {
            String owner = row.owners().get(0).split(" ")[0];
            row.spans().stream()
                    .filter(span -> span.startsWith("-"))
                    .forEach(span -> onPage.computeIfAbsent(owner, name -> new TreeSet<>())
                            .add(span));
        }
        assertEquals(inCode, onPage);
    }

    private static void collectOptions(CommandSpec command, Map<String, Set<String>> optionsByClass) {
        for (OptionSpec option : command.options()) {
            optionsByClass
                    .computeIfAbsent(declaringClass(option), name -> new TreeSet<>())
                    .addAll(List.of(option.names()));
        }
        command.subcommands().values().forEach(sub -> collectOptions(sub.getCommandSpec(), optionsByClass));
    }

    /** Returns the top-level class that declares an option; the root command's for the help options of picocli. */
    private static String declaringClass(OptionSpec option) {
        Class<?> type = option.userObject() instanceof MethodParam parameter
                ? parameter.getDeclaringExecutable().getDeclaringClass()
                : ((Member) option.userObject()).getDeclaringClass();
        while (type.getEnclosingClass() != null) {
            type = type.getEnclosingClass();
        }
        return (type == CommandLine.class ? Weldhitch.class : type).getSimpleName();
    }

    @Test
    void nodeArchiveCommands() {
        OuterNamesPage.Row row = pageRow("Command line", "Main");
        Path source = literals.fileOf("weldhitch.Main");
        row.spans().forEach(span -> assertHeld(row, span, Set.of(source)));
    }

    // Exit codes

    @Test
    void exitCodeConstants() throws IllegalAccessException {
        Map<String, Integer> inCode = new TreeMap<>();
        for (Class<?> type : types.all()) {
            for (Field field : type.getDeclaredFields()) {
                if (field.getName().startsWith("EXIT_") && Modifier.isStatic(field.getModifiers())) {
                    field.setAccessible(true);
                    inCode.put(type.getSimpleName() + "." + field.getName(), field.getInt(null));
                }
            }
        }
        Pattern constant = Pattern.compile("(\\d+) \\(`(?:(\\w+)\\.)?(EXIT_\\w+)`\\)");
        Map<String, Integer> onPage = new TreeMap<>();
        for (OuterNamesPage.Row row : page.rows("Exit codes")) {
            for (MatchResult match : constant.matcher(row.names()).results().toList()) {
                String owner = match.group(2) == null ? row.owners().get(0) : match.group(2);
                onPage.put(owner + "." + match.group(3), Integer.valueOf(match.group(1)));
            }
        }
        assertEquals(inCode, onPage);
    }

    // Fields and constants that are written out

    @Test
    void recordComponentsAndConstants() {
        Map<Class<?>, Map<String, String>> onPage = writtenNamesOnPage();
        assertAll(onPage.entrySet().stream()
                .map(entry -> difference(
                        entry.getKey().getCanonicalName() + ": components or constants",
                        new TreeSet<>(ProjectTypes.memberNames(entry.getKey())),
                        new TreeSet<>(entry.getValue().values()))));
    }

    @Test
    void writtenNamesOfMessagesAndDocuments() throws ReflectiveOperationException {
        List<String> differences = new ArrayList<>();
        for (Map.Entry<Class<?>, Map<String, String>> entry :
                writtenNamesOnPage().entrySet()) {
            ObjectMapper mapper = mapperFor(entry.getKey());
            if (mapper != null) {
                differences.add(difference(
                        entry.getKey().getCanonicalName() + ": written name=Java name",
                        writtenNames(mapper, entry.getKey()),
                        new TreeMap<>(entry.getValue())));
            }
        }
        assertAll(differences.stream());
    }

    /** Returns the Java name for each written name, for each record and enum that the page names. */
    private static Map<Class<?>, Map<String, String>> writtenNamesOnPage() {
        Map<Class<?>, Map<String, String>> names = new LinkedHashMap<>();
        List<OuterNamesPage.Row> rows = new ArrayList<>(page.rows(RENAMED_SECTIONS));
        page.rows(JAVA_NAMES).stream()
                .filter(row -> !row.owner().endsWith(" records") && !row.owner().startsWith("bench "))
                .filter(row -> DESCRIBED_OWNERS.stream().noneMatch(row.owner()::startsWith))
                .forEach(rows::add);
        for (OuterNamesPage.Row row : rows) {
            List<Class<?>> owners = types.ownersOf(row);
            for (int i = 0; i < owners.size(); i++) {
                // An interface has no fields of its own; typeNamesOfMessages compares what it adds.
                if (!owners.get(i).isInterface() && !row.names().startsWith("none: ")) {
                    names.computeIfAbsent(owners.get(i), type -> new LinkedHashMap<>())
                            .putAll(OuterNamesPage.javaNames(row.namesOf(i)));
                }
            }
        }
        return names;
    }

    /** Returns the mapper that writes a type as JSON or CBOR, or null for types that are written as text only. */
    private static ObjectMapper mapperFor(Class<?> type) throws ReflectiveOperationException {
        String packageName = type.getPackageName();
        if (packageName.matches("weldhitch\\.(capture\\..*|decision\\.(settings|snapshot|routing|endpoint))")) {
            return mapperField(DocumentCodec.class, "MAPPER");
        }
        if (packageName.matches("weldhitch\\.(consensus|coordinator\\..*|fleet\\.(activation|locality))")) {
            return mapperField(Class.forName("weldhitch.coordinator.server.CoordinatorJson"), "JSON");
        }
        return null;
    }

    private static ObjectMapper mapperField(Class<?> type, String name) throws ReflectiveOperationException {
        Field field = type.getDeclaredField(name);
        field.setAccessible(true);
        return (ObjectMapper) field.get(null);
    }

    private static Map<String, String> writtenNames(ObjectMapper mapper, Class<?> type) {
        Map<String, String> names = new TreeMap<>();
        if (type.isEnum()) {
            for (Object constant : type.getEnumConstants()) {
                names.put(mapper.valueToTree(constant).asText(), ((Enum<?>) constant).name());
            }
        } else {
            mapper.getSerializationConfig()
                    .introspect(mapper.constructType(type))
                    .findProperties()
                    .forEach(property ->
                            names.put(property.getName(), property.getAccessor().getName()));
        }
        return names;
    }

    @Test
    void typeNamesOfMessages() throws ReflectiveOperationException {
        Field field =
                Class.forName("weldhitch.coordinator.server.CoordinatorJson").getDeclaredField("TYPE_NAMES");
        field.setAccessible(true);
        Map<String, String> inCode = new TreeMap<>();
        ((Map<?, ?>) field.get(null))
                .forEach((type, name) -> inCode.put(name.toString(), ((Class<?>) type).getSimpleName()));
        Map<String, String> onPage = new TreeMap<>();
        page.rows("JSON values").stream()
                .filter(row -> row.owner().startsWith("coordinator.server.CoordinatorJson.TYPE_NAMES"))
                .forEach(row -> onPage.putAll(OuterNamesPage.javaNames(row.names())));
        assertEquals(inCode, onPage);
        assertTypeProperty("coordinator.server.CoordinatorJson.TypeTagged", "JSON fields and constants");
    }

    @Test
    void typeNamesOfHedgingRules() {
        OuterNamesPage.Row row =
                assertTypeProperty("DocumentCodec.HedgingMixIn", "Capture: snapshot document (CBOR), names given by");
        JsonSubTypes subTypes = types.find("DocumentCodec.HedgingMixIn", row).getAnnotation(JsonSubTypes.class);
        Map<String, String> inCode = Stream.of(subTypes.value())
                .collect(Collectors.toMap(
                        JsonSubTypes.Type::name, type -> type.value().getSimpleName()));
        Map<String, String> onPage = OuterNamesPage.javaNames(row.names());
        onPage.remove("kind");
        assertEquals(inCode, onPage, row.toString());
    }

    private static OuterNamesPage.Row assertTypeProperty(String mixIn, String section) {
        OuterNamesPage.Row row = pageRow(section, mixIn);
        String property =
                types.find(mixIn, row).getAnnotation(JsonTypeInfo.class).property();
        assertEquals(row.spans().get(0), property, row.toString());
        return row;
    }

    @Test
    void eventsAndActionsOfTheBalancer() {
        for (OuterNamesPage.Row row : page.rows(JAVA_NAMES)) {
            if (row.owner().endsWith(" records")) {
                Class<?> parent = types.find(row.owner().replace(" records", ""), row);
                Map<String, List<String>> inCode = new TreeMap<>();
                Stream.of(parent.getPermittedSubclasses())
                        .forEach(type -> inCode.put(type.getSimpleName(), ProjectTypes.memberNames(type)));
                assertEquals(inCode, recordsIn(row.names()), row.toString());
            }
        }
    }

    /** Returns the components by record name in a cell such as `Arrived` (`id`, `class`), `Subscribed`. */
    private static Map<String, List<String>> recordsIn(String names) {
        Map<String, List<String>> records = new TreeMap<>();
        Pattern recordNames = Pattern.compile("`([A-Z]\\w*)`(?: \\(([^)]*)\\))?");
        recordNames
                .matcher(names)
                .results()
                .forEach(match -> records.put(
                        match.group(1), match.group(2) == null ? List.of() : OuterNamesPage.codeSpans(match.group(2))));
        return records;
    }

    @Test
    void constantsWrittenByPosition() {
        for (OuterNamesPage.Row row : page.rows("Written out by position")) {
            List<Class<?>> owners = types.ownersOf(row);
            assertEquals(ProjectTypes.memberNames(owners.get(0)), row.spans(), row.toString());
        }
    }

    /** Labels of constants, which reports and JSON hold; their order is not written out. */
    @Test
    void labelsOfConstants() throws ReflectiveOperationException {
        Pattern labelled = Pattern.compile("\\w+\\.(ExclusionReason|DecisionReason|Invariant)(?=\\.label\\(\\)| \\()");
        Set<String> compared = new TreeSet<>();
        for (OuterNamesPage.Row row : page.rows()) {
            for (MatchResult match : labelled.matcher(row.owner()).results().toList()) {
                Class<?> type = types.find(match.group(), row);
                assertEquals(labels(type), new TreeSet<>(row.spans()), row.toString());
                compared.add(type.getSimpleName());
            }
        }
        assertEquals(Set.of("DecisionReason", "ExclusionReason", "Invariant"), compared);
    }

    private static Set<String> labels(Class<?> type) throws ReflectiveOperationException {
        Set<String> labels = new TreeSet<>();
        for (Object constant : type.getEnumConstants()) {
            labels.add((String) type.getMethod("label").invoke(constant));
        }
        return labels;
    }

    /** The benchmarks are not on the class path, so their names are compared with the source text. */
    @Test
    void namesOfBenchmarks() throws IOException {
        StringBuilder source = new StringBuilder();
        for (Path file : ProjectTypes.javaFiles(ROOT.resolve("bench/src/main/java"))) {
            source.append(Files.readString(file));
        }
        Pattern declared = Pattern.compile("\\b(?:class|void|int|long|double|String|Object|[A-Z]\\w*) (\\w+)");
        Set<String> inCode =
                declared.matcher(source).results().map(match -> match.group(1)).collect(Collectors.toSet());
        page.rows(JAVA_NAMES).stream()
                .filter(row -> row.owner().startsWith("bench "))
                .forEach(row -> row.spans().stream()
                        .flatMap(span -> OuterNamesPage.words(span).stream())
                        .forEach(name -> assertTrue(inCode.contains(name), row + ": no benchmark declares " + name)));
    }

    // Keys of settings and configuration files, headers

    @Test
    void literalNamesStandInTheSourceOfTheirOwners() {
        List<String> missing = new ArrayList<>();
        for (OuterNamesPage.Row row : page.rows(LITERAL_SECTIONS)) {
            if (!row.owner().startsWith(RETRY_OUTCOMES)) {
                Set<Path> files = literals.filesOf(row);
                row.spans().stream()
                        .filter(span -> !literals.hold(span, files))
                        .forEach(span -> missing.add(row + ": no string literal holds `" + span + "`"));
            }
        }
        assertAll(missing.stream());
    }

    @Test
    void keysInCodeStandOnThePage() {
        List<String> missing = new ArrayList<>();
        for (String reader : KEY_READERS) {
            Path file = literals.fileOf(reader);
            Set<String> names = namesOf(reader);
            literals.literalsOf(file).stream()
                    .map(literal -> literal.replaceFirst("^\\.", ""))
                    .filter(literal -> literal.matches("[A-Za-z](?:[A-Za-z0-9_.-]*[A-Za-z0-9])?"))
                    .filter(literal -> !names.contains(literal) && !MESSAGE_WORDS.contains(literal))
                    .forEach(literal -> missing.add(reader + ": `" + literal + "` is not on the page"));
        }
        assertAll(missing.stream());
    }

    /**
     * Returns the names in the rows that a class owns, and the words of composed ones. The first word is left out, as
     * it is a name of its own: {@code hedge} does not stand on the page because {@code hedge.after} does.
     */
    private static Set<String> namesOf(String owner) {
        return page.rows().stream()
                .filter(row -> row.owners().stream()
                        .anyMatch(name -> List.of(name.split("[. ]")).contains(owner)))
                .flatMap(row -> row.spans().stream())
                .flatMap(span -> Stream.concat(
                        Stream.of(span), OuterNamesPage.words(span).stream().skip(1)))
                .collect(Collectors.toSet());
    }

    @Test
    void valuesOfRetryOn() {
        OuterNamesPage.Row row = pageRow("Route configuration", RETRY_OUTCOMES);
        Set<String> inCode = RoutePolicy.RETRYABLE.stream()
                .map(outcome -> outcome.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .collect(Collectors.toSet());
        assertEquals(inCode, Set.copyOf(row.spans()), row.toString());
    }

    @Test
    void typesOfFleetErrors() {
        OuterNamesPage.Row row = pageRow("Error kinds", "fleet.error.FleetError");
        Set<String> onPage = Pattern.compile("`[a-z-]+`=(\\w+)")
                .matcher(row.names())
                .results()
                .map(match -> match.group(1))
                .collect(Collectors.toSet());
        Set<String> inCode = Stream.of(types.find("fleet.error.FleetError", row).getPermittedSubclasses())
                .map(Class::getSimpleName)
                .collect(Collectors.toSet());
        assertEquals(inCode, onPage, row.toString());
    }

    @Test
    void scenarioKeys() throws IOException {
        Set<String> properties = new TreeSet<>();
        Set<String> values = new TreeSet<>();
        collectSchemaNames(new ObjectMapper().readTree(Files.readString(SCENARIO_SCHEMA)), properties, values);
        Set<String> onPage = page.rows("Scenario file").stream()
                .flatMap(row -> row.spans().stream())
                .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(Set.of(), minus(properties, onPage), "keys of the schema that are not on the page");
        assertEquals(
                Set.of(), minus(minus(onPage, properties), values), "names on the page that are not in the schema");
    }

    /** Collects keys (names under "properties" and "$defs") and values (texts under "enum", "const" and "pattern"). */
    private static void collectSchemaNames(JsonNode node, Set<String> properties, Set<String> values) {
        node.properties().forEach(field -> {
            if (Set.of("properties", "$defs").contains(field.getKey())) {
                field.getValue().fieldNames().forEachRemaining(properties::add);
            } else if (Set.of("enum", "const", "pattern").contains(field.getKey())) {
                values.addAll(OuterNamesPage.words(field.getValue().toString()));
            }
        });
        node.forEach(child -> collectSchemaNames(child, properties, values));
    }

    // Helpers

    /** Returns the first row of a section whose first owner is the given one. */
    private static OuterNamesPage.Row pageRow(String section, String owner) {
        OuterNamesPage.Row found = page.rows(section).stream()
                .filter(row -> row.owners().get(0).equals(owner))
                .findFirst()
                .orElse(null);
        assertNotNull(found, "section \"" + section + "\" has no row of " + owner);
        return found;
    }

    private static void assertHeld(OuterNamesPage.Row row, String name, Set<Path> files) {
        assertTrue(literals.hold(name, files), row + ": no string literal holds `" + name + "`");
    }

    private static Set<String> minus(Set<String> names, Set<String> others) {
        Set<String> rest = new TreeSet<>(names);
        rest.removeAll(others);
        return rest;
    }

    /** Returns an empty text where both are equal. */
    private static String difference(String what, Object inCode, Object onPage) {
        return inCode.equals(onPage) ? "" : what + ": code has " + inCode + ", the page " + onPage;
    }

    private static void assertAll(Stream<String> differences) {
        List<String> found =
                differences.filter(difference -> !difference.isEmpty()).toList();
        assertTrue(found.isEmpty(), () -> String.join("\n", found));
    }
}

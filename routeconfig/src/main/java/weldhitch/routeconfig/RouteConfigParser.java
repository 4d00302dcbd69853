package weldhitch.routeconfig;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.fleet.locality.LocalityRules;
import weldhitch.fleet.member.FleetSettings;
import weldhitch.routeconfig.RuleSection.Kind;

/**
 * Parses a route configuration: checks its encoding, end marker and TOML syntax, then reads, validates and compiles
 * its sections. Called by {@link RouteConfig}. One instance parses one text; not thread-safe.
 */
final class RouteConfigParser {
    private static final int MAX_BYTES = 1 << 20;

    private final String file;
    private final BalancerSettings platform;

    /**
     * Creates a parser.
     *
     * @param file the file name that problems state
     * @param platform the platform's settings, or null if they are not known
     */
    RouteConfigParser(String file, BalancerSettings platform) {
        this.file = file;
        this.platform = platform;
    }

    /** Reads and parses a file. Blocks until the file is read, at most for {@code maxDuration}. */
    static RouteConfig read(Path file, BalancerSettings platform, Duration maxDuration) {
        try {
            FileContent content = BoundedFileReader.within(maxDuration, () -> FileContent.of(file));
            if (content.size > MAX_BYTES) {
                return unreadable(file, 0, "has " + content.size + " bytes", "the limit is " + MAX_BYTES);
            }
            if (content.changed) {
                return unreadable(
                        file,
                        0,
                        "changed while it was read",
                        "write a temporary file in the same directory and rename it");
            }
            return new RouteConfigParser(file.toString(), platform).parse(content.bytes);
        } catch (IOException e) {
            return unreadable(file, 0, "cannot be read: " + e, "specify a file that this user may read");
        }
    }

    /** A file as it was read. */
    private record FileContent(long size, byte[] bytes, boolean changed) {
        static FileContent of(Path file) throws IOException {
            BasicFileAttributes before = Files.readAttributes(file, BasicFileAttributes.class);
            if (before.size() > MAX_BYTES) {
                return new FileContent(before.size(), null, false);
            }
            byte[] bytes = BoundedFileReader.readAtMost(file, MAX_BYTES);
            BasicFileAttributes after = Files.readAttributes(file, BasicFileAttributes.class);
            boolean changed =
                    bytes.length != after.size() || !before.lastModifiedTime().equals(after.lastModifiedTime());
            return new FileContent(bytes.length, bytes, changed);
        }
    }

    private static RouteConfig unreadable(Path file, int line, String description, String remedy) {
        ConfigProblem problem = new ConfigProblem(file.toString(), line, "", description, remedy, false);
        return RouteConfig.invalid(List.of(problem), null);
    }

    /** Parses a text encoded in UTF-8. */
    RouteConfig parse(byte[] bytes) {
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            return unreadable(Path.of(file), 0, "is not UTF-8", "save it as UTF-8");
        }
        List<ConfigProblem> endMarkerProblems = checkEndMarker(text);
        try {
            return readSections(TomlDocument.parse(text), endMarkerProblems);
        } catch (TomlSyntaxException e) {
            List<ConfigProblem> problems = new ArrayList<>(endMarkerProblems);
            problems.add(new ConfigProblem(file, e.line(), "", e.found(), e.expected(), false));
            problems.sort(Comparator.comparingInt(ConfigProblem::line));
            return RouteConfig.invalid(problems, platform);
        }
    }

    private List<ConfigProblem> checkEndMarker(String text) {
        if (text.stripTrailing().endsWith("\n" + RouteConfig.END_MARKER)) {
            return List.of();
        }
        int lineCount = (int) text.chars().filter(c -> c == '\n').count() + (text.endsWith("\n") ? 0 : 1);
        return List.of(new ConfigProblem(
                file,
                lineCount,
                "",
                "does not end with the line \"" + RouteConfig.END_MARKER + "\"",
                "truncated files are rejected: write the complete file, with this line last",
                false));
    }

    private RouteConfig readSections(TomlDocument document, List<ConfigProblem> endMarkerProblems) {
        // Problems on the same line are listed in the order of these steps.
        JsonNode root = document.root();
        ProblemCollector problems = new ProblemCollector(file, document.lines());
        endMarkerProblems.forEach(problems::error);
        TomlValueReader values = new TomlValueReader(problems);
        List<RuleSection> sections = new RouteConfigReader(values).read(root);
        CaptureSettings capture = new CaptureSectionReader(values).read(root.get("capture"));
        FleetSettings fleet = new FleetSectionReader(values).read(root.get("fleet"));
        Set<String> routeNames = sections.stream()
                .filter(section -> section.kind() == Kind.ROUTE)
                .map(RuleSection::name)
                .collect(Collectors.toSet());
        LocalityRules locality = new LocalitySectionReader(values, platform, routeNames).read(root);
        RouteConfigValidator validator = new RouteConfigValidator(document.lines(), platform, problems);
        validator.validate(sections);
        RouteCompiler compiler = new RouteCompiler(platform, validator);
        if (!problems.isErrorListFull()) {
            compiler.compile(sections);
        }
        boolean usable = !problems.hasErrors();
        return new RouteConfig(
                problems.byLine(),
                problems.errorCount(),
                usable ? new RouteTable(compiler.routes()) : null,
                compiler.settingsByRoute(),
                platform,
                usable ? capture : null,
                usable ? fleet : null,
                usable ? locality : null);
    }
}

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
    private final List<ConfigProblem> problems = new ArrayList<>();

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

    /** Reads and parses a file. Blocks until the file is read. */
    static RouteConfig read(Path file, BalancerSettings platform) {
        try {
            BasicFileAttributes attributesBefore = Files.readAttributes(file, BasicFileAttributes.class);
            if (attributesBefore.size() > MAX_BYTES) {
                return unreadable(file, 0, "has " + attributesBefore.size() + " bytes", "the limit is " + MAX_BYTES);
            }
            byte[] bytes = Files.readAllBytes(file);
            BasicFileAttributes attributesAfter = Files.readAttributes(file, BasicFileAttributes.class);
            if (bytes.length != attributesAfter.size()
                    || !attributesBefore.lastModifiedTime().equals(attributesAfter.lastModifiedTime())) {
                return unreadable(
                        file,
                        0,
                        "changed while it was read",
                        "write a temporary file in the same directory and rename it");
            }
            return new RouteConfigParser(file.toString(), platform).parse(bytes);
        } catch (IOException e) {
            return unreadable(file, 0, "cannot be read: " + e, "specify a file that this user may read");
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
        checkEndMarker(text);
        JsonNode root;
        try {
            root = new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            reportSyntaxError(e, text);
            return RouteConfig.invalid(problems, platform);
        }
        return readSections(root, new TomlLineIndex(text));
    }

    private void checkEndMarker(String text) {
        int lineCount = (int) text.chars().filter(c -> c == '\n').count() + (text.endsWith("\n") ? 0 : 1);
        if (!text.stripTrailing().endsWith("\n" + RouteConfig.END_MARKER)) {
            problems.add(new ConfigProblem(
                    file,
                    lineCount,
                    "",
                    "does not end with the line \"" + RouteConfig.END_MARKER + "\"",
                    "truncated files are rejected: write the complete file, with this line last",
                    false));
        }
    }

    private void reportSyntaxError(JsonProcessingException e, String text) {
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
                "is not valid TOML: "
                        + e.getOriginalMessage().lines().findFirst().orElse(""),
                "fix this line; the lines after it were not checked",
                false));
    }

    private RouteConfig readSections(JsonNode root, TomlLineIndex lineIndex) {
        // Problems on the same line are listed in the order of these steps.
        TomlValueReader values = new TomlValueReader(file, lineIndex, problems);
        List<RuleSection> sections = new RouteConfigReader(values).read(root);
        CaptureSettings capture = new CaptureSectionReader(values).read(root.get("capture"));
        FleetSettings fleet = new FleetSectionReader(values).read(root.get("fleet"));
        Set<String> routeNames = sections.stream()
                .filter(section -> section.kind() == Kind.ROUTE)
                .map(RuleSection::name)
                .collect(Collectors.toSet());
        LocalityRules locality = new LocalitySectionReader(values, platform, routeNames).read(root);
        RouteConfigValidator validator = new RouteConfigValidator(file, lineIndex, platform, problems);
        validator.validate(sections);
        RouteCompiler compiler = new RouteCompiler(platform, validator);
        compiler.compile(sections);
        boolean usable = problems.stream().allMatch(ConfigProblem::warning);
        return new RouteConfig(
                problems,
                usable ? new RouteTable(compiler.routes()) : null,
                compiler.settingsByRoute(),
                platform,
                usable ? capture : null,
                usable ? fleet : null,
                usable ? locality : null);
    }
}

package weldhitch.routeconfig;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/**
 * A parsed TOML document. Parsing ends in time and memory proportional to the text, whatever the text contains.
 * Immutable, as far as {@code root} is not changed.
 *
 * @param root the values
 * @param lines the lines of the keys
 */
public record TomlDocument(JsonNode root, TomlLineIndex lines) {
    private static final TomlMapper MAPPER = new TomlMapper(TomlFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(TomlLineIndex.MAX_NESTING)
                    .build())
            .build());

    /**
     * Parses a text.
     *
     * @throws TomlSyntaxException if the text is not valid TOML, is nested too deeply or has keys that are too long
     */
    public static TomlDocument parse(String text) throws TomlSyntaxException {
        TomlLineIndex lines = new TomlLineIndex(text);
        TomlLineIndex.LimitViolation violation = lines.limitViolation();
        if (violation != null) {
            throw new TomlSyntaxException(violation.line(), violation.found(), violation.expected(), null);
        }
        try {
            return new TomlDocument(MAPPER.readTree(text), lines);
        } catch (JsonProcessingException e) {
            String problem = e.getOriginalMessage();
            // The parser detects a duplicate key only where the next key begins.
            int duplicateKeyLine = problem.contains("Duplicate key") ? lines.firstDuplicateLine() : 0;
            int parserLine = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw syntaxError(duplicateKeyLine > 0 ? duplicateKeyLine : parserLine, problem, e);
        } catch (RuntimeException e) {
            throw syntaxError(0, e.toString(), e);
        }
    }

    private static TomlSyntaxException syntaxError(int line, String problem, Exception cause) {
        return new TomlSyntaxException(
                line,
                "is not valid TOML: " + problem.lines().findFirst().orElse(""),
                "fix this line; the lines after it were not checked",
                cause);
    }
}

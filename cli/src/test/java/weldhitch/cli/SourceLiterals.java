package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** The string literals in the main source files of all modules, comments excluded. Immutable. */
final class SourceLiterals {
    private static final Pattern TOKEN = Pattern.compile(
            "\"\"\"(?<block>.*?)\"\"\"|\"(?<text>(?:[^\"\\\\\\n]|\\\\.)*+)\"|'(?:[^'\\\\]|\\\\.)++'"
                    + "|//[^\\n]*+|/\\*.*?\\*/",
            Pattern.DOTALL);

    /** Constants of Netty and of the JDK's HTTP client by which code writes a header, a method or a version. */
    private static final Pattern LIBRARY_CONSTANT =
            Pattern.compile("\\bHttp(HeaderNames|HeaderValues|Method|Version)\\.([A-Z][A-Z0-9_]*)|\\.(GET|POST)\\(");

    private final Map<Path, Set<String>> literalsByFile = new TreeMap<>();
    private final Path root;

    private SourceLiterals(Path root) {
        this.root = root;
    }

    static SourceLiterals read(Path root) throws IOException {
        SourceLiterals literals = new SourceLiterals(root);
        for (String module : ProjectTypes.modules(root)) {
            for (Path file : ProjectTypes.javaFiles(root.resolve(module).resolve("src/main/java"))) {
                literals.literalsByFile.put(file, literalsIn(Files.readString(file)));
            }
        }
        return literals;
    }

    private static Set<String> literalsIn(String source) {
        Set<String> literals = new HashSet<>();
        Matcher token = TOKEN.matcher(source);
        StringBuilder code = new StringBuilder();
        while (token.find()) {
            token.appendReplacement(code, " ");
            String literal = token.group("block") == null ? token.group("text") : token.group("block");
            if (literal != null) {
                literals.add(unescape(literal));
            }
        }
        token.appendTail(code);
        LIBRARY_CONSTANT.matcher(code).results().forEach(constant -> literals.add(valueOf(constant)));
        return literals;
    }

    /** Replaces the escapes that could join two words; the others are no part of a name. */
    private static String unescape(String literal) {
        return literal.replaceAll("\\\\[rnt]", " ").replace("\\\"", "\"").replace("\\\\", "\\");
    }

    private static String valueOf(MatchResult constant) {
        if (constant.group(3) != null) {
            return constant.group(3);
        }
        return switch (constant.group(1)) {
            case "Method" -> constant.group(2);
            case "Version" -> constant.group(2).replaceFirst("HTTP_([0-9])_([0-9])", "HTTP/$1.$2");
            default -> constant.group(2).toLowerCase(Locale.ROOT).replace('_', '-');
        };
    }

    /**
     * Returns the source files of the top-level classes that a row's owners name, such as {@code Discovery} or
     * {@code weldhitch.testkit.NodeFixtures.configJson}; fails where there is none or more than one.
     */
    Set<Path> filesOf(OuterNamesPage.Row row) {
        Set<Path> files = new TreeSet<>();
        for (String owner : row.owners()) {
            files.add(fileOf(owner, row));
        }
        return files;
    }

    private Path fileOf(String owner, OuterNamesPage.Row row) {
        String[] parts = owner.replaceFirst(" .*", "").split("\\.");
        StringBuilder path = new StringBuilder();
        for (String part : parts) {
            path.append('/').append(part);
            if (Character.isUpperCase(part.charAt(0))) {
                break;
            }
        }
        List<Path> found = literalsByFile.keySet().stream()
                .filter(file -> file.toString().replace('\\', '/').endsWith(path + ".java"))
                .toList();
        assertEquals(1, found.size(), row + ": expected one source file of " + owner + ", found " + found);
        return found.get(0);
    }

    Path fileOf(String topLevelClass) {
        return fileOf(topLevelClass, new OuterNamesPage.Row("", topLevelClass, ""));
    }

    Set<String> literalsOf(Path file) {
        return literalsByFile.get(file);
    }

    /** Returns the literals of all files in the module of a file. */
    private Set<String> literalsOfModuleWith(Path file) {
        Path module = root.resolve(root.relativize(file).getName(0));
        return literalsByFile.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(module))
                .flatMap(entry -> entry.getValue().stream())
                .collect(Collectors.toSet());
    }

    /**
     * Whether code holds a name: as a whole literal in a module of the owners' files, or, for names that code composes
     * or writes within a longer text, word by word in literals of the owners' files.
     */
    boolean hold(String name, Collection<Path> files) {
        if (files.stream().anyMatch(file -> literalsOfModuleWith(file).contains(name))) {
            return true;
        }
        Set<String> words = files.stream()
                .flatMap(file -> literalsOf(file).stream())
                .flatMap(literal -> OuterNamesPage.words(literal).stream())
                .collect(Collectors.toSet());
        // A name without a word, such as "*", is found as a whole literal or not at all.
        return !OuterNamesPage.words(name).isEmpty() && words.containsAll(OuterNamesPage.literalWords(name));
    }
}

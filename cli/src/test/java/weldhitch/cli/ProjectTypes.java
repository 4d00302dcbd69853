package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.File;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The classes of all modules on the class path, found by their source files. Immutable. */
final class ProjectTypes {
    /** The only module that the command line's class path doesn't hold. */
    private static final String BENCHMARK_MODULE = "bench";

    private final Map<String, Class<?>> typesByName = new TreeMap<>();
    private final Map<String, String> modulesByName = new TreeMap<>();

    /** Loads the classes of all source files below the repository's root, with nested ones, and initializes none. */
    static ProjectTypes load(Path root) throws IOException, ClassNotFoundException {
        ProjectTypes types = new ProjectTypes();
        for (String module : modules(root)) {
            if (!module.equals(BENCHMARK_MODULE)) {
                types.loadModule(root, module);
            }
        }
        return types;
    }

    static List<String> modules(Path root) throws IOException {
        try (Stream<Path> directories = Files.list(root)) {
            return directories
                    .filter(directory -> Files.isDirectory(directory.resolve("src/main/java")))
                    .map(directory -> directory.getFileName().toString())
                    .sorted()
                    .toList();
        }
    }

    private void loadModule(Path root, String module) throws IOException, ClassNotFoundException {
        Path sources = root.resolve(module).resolve("src/main/java");
        for (Path file : javaFiles(sources)) {
            String path = sources.relativize(file).toString();
            if (!path.endsWith("-info.java")) {
                String name =
                        path.substring(0, path.length() - ".java".length()).replace(File.separatorChar, '.');
                add(module, Class.forName(name, false, ProjectTypes.class.getClassLoader()));
            }
        }
    }

    static List<Path> javaFiles(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .sorted()
                    .toList();
        }
    }

    private void add(String module, Class<?> type) {
        typesByName.put(type.getCanonicalName(), type);
        modulesByName.put(type.getCanonicalName(), module);
        for (Class<?> nested : type.getDeclaredClasses()) {
            add(module, nested);
        }
    }

    List<Class<?>> all() {
        return List.copyOf(typesByName.values());
    }

    /** Returns the types of a row's owners. A later owner may be named as Java code within the first would name it. */
    List<Class<?>> ownersOf(OuterNamesPage.Row row) {
        List<Class<?>> types = new ArrayList<>();
        for (String owner : row.owners()) {
            Class<?> neighbour = types.isEmpty() ? null : visibleFrom(types.get(0), owner);
            types.add(neighbour == null ? find(owner, row) : neighbour);
        }
        return types;
    }

    private Class<?> visibleFrom(Class<?> first, String name) {
        String scope = first.getCanonicalName();
        while (scope.indexOf('.') >= 0) {
            scope = scope.substring(0, scope.lastIndexOf('.'));
            if (typesByName.containsKey(scope + "." + name)) {
                return typesByName.get(scope + "." + name);
            }
        }
        return null;
    }

    /** Returns the only type with a name that is the end of a qualified one, after a module and a blank or without. */
    Class<?> find(String owner, OuterNamesPage.Row row) {
        int blank = owner.indexOf(' ');
        String module = blank < 0 ? null : owner.substring(0, blank);
        String name = owner.substring(blank + 1);
        List<String> found = typesByName.keySet().stream()
                .filter(type -> ("." + type).endsWith("." + name))
                .filter(type -> module == null || modulesByName.get(type).equals(module))
                .toList();
        assertEquals(1, found.size(), row + ": expected one type " + owner + ", found " + found);
        return typesByName.get(found.get(0));
    }

    /** Returns the names of a record's components or of an enum's constants, in their order; fails for other types. */
    static List<String> memberNames(Class<?> type) {
        if (type.isRecord()) {
            return Stream.of(type.getRecordComponents())
                    .map(RecordComponent::getName)
                    .toList();
        }
        if (type.isEnum()) {
            return Stream.of(type.getEnumConstants())
                    .map(constant -> ((Enum<?>) constant).name())
                    .toList();
        }
        throw new AssertionError(type.getCanonicalName() + ": expected a record or an enum");
    }
}

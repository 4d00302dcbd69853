package weldhitch.routeconfig;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Collects the problems of one file. Lists the first errors and warnings up to a limit and counts the others, so that
 * a file cannot cause more messages than a person can use. Not thread-safe.
 */
final class ProblemCollector {
    /** Errors that are listed; the same number of warnings is listed besides. */
    static final int MAX_LISTED = 100;

    private static final int MAX_DESCRIPTION_LENGTH = 300;

    private final String file;
    private final TomlLineIndex lineIndex;
    private final ListedProblems errors = new ListedProblems(false);
    private final ListedProblems warnings = new ListedProblems(true);

    /** Creates a collector that states the lines of keys by this index. */
    ProblemCollector(String file, TomlLineIndex lineIndex) {
        this.file = file;
        this.lineIndex = lineIndex;
    }

    /** Returns the line of a key. */
    int lineOf(String key) {
        return lineIndex.lineOf(key);
    }

    /** Adds an error at a key. */
    void error(String key, String description, String remedy) {
        errors.add(key, description, () -> remedy);
    }

    /** Adds an error at a key, with a remedy that is computed only if the error is listed. */
    void error(String key, String description, Supplier<String> remedy) {
        errors.add(key, description, remedy);
    }

    /** Adds an error that is not at a key. */
    void error(ConfigProblem problem) {
        errors.add(problem);
    }

    /** Adds a warning at a key. */
    void warn(String key, String description, String remedy) {
        warnings.add(key, description, () -> remedy);
    }

    boolean hasErrors() {
        return !errors.listed.isEmpty();
    }

    /** Returns whether no further error would be listed, so that checks which cost much memory may be left out. */
    boolean isErrorListFull() {
        return errors.listed.size() >= MAX_LISTED;
    }

    /** Returns the number of errors, listed or not. */
    int errorCount() {
        return errors.listed.size() + errors.unlistedCount;
    }

    /** Returns the listed errors and then the listed warnings, each in the order in which they were found. */
    List<ConfigProblem> listed() {
        List<ConfigProblem> problems = new ArrayList<>(errors.listed);
        problems.addAll(warnings.listed);
        return problems;
    }

    /** Returns the listed problems by line, followed by the number of those that are not listed. */
    List<ConfigProblem> byLine() {
        List<ConfigProblem> problems = listed();
        problems.sort(Comparator.comparingInt(ConfigProblem::line));
        errors.addRemainder(problems);
        warnings.addRemainder(problems);
        return problems;
    }

    /** The problems of one severity. */
    private final class ListedProblems {
        private final boolean warning;
        private final Set<ConfigProblem> listed = new LinkedHashSet<>();
        private int unlistedCount;
        private int firstUnlistedLine;

        ListedProblems(boolean warning) {
            this.warning = warning;
        }

        void add(String key, String description, Supplier<String> remedy) {
            if (listed.size() >= MAX_LISTED) {
                countUnlisted(() -> lineIndex.lineOf(key));
                return;
            }
            String shortened = description.length() > MAX_DESCRIPTION_LENGTH
                    ? description.substring(0, MAX_DESCRIPTION_LENGTH) + "..."
                    : description;
            listed.add(new ConfigProblem(file, lineIndex.lineOf(key), key, shortened, remedy.get(), warning));
        }

        void add(ConfigProblem problem) {
            if (listed.size() >= MAX_LISTED) {
                countUnlisted(problem::line);
            } else {
                listed.add(problem);
            }
        }

        private void countUnlisted(Supplier<Integer> line) {
            if (unlistedCount == 0) {
                firstUnlistedLine = line.get();
            }
            unlistedCount++;
        }

        void addRemainder(List<ConfigProblem> problems) {
            if (unlistedCount > 0) {
                problems.add(new ConfigProblem(
                        file,
                        firstUnlistedLine,
                        "",
                        unlistedCount + " more " + (warning ? "warnings" : "errors")
                                + ", the first of them on this line, are not listed",
                        "correct the listed ones first",
                        warning));
            }
        }
    }
}

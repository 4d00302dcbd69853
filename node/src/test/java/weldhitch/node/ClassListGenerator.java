package weldhitch.node;

/**
 * Writes the list of classes for the class-data archive of the build; run by hand whenever classes have changed. The
 * list contains the classes that a node loads from its start, through its first second, to its shutdown.
 * docs/restarts-and-releases.md contains the command.
 */
final class ClassListGenerator {
    private ClassListGenerator() {}

    /** Runs a packaged node with {@code -XX:DumpLoadedClassList}. */
    public static void main(String[] args) throws Exception {
        try (NodeProcess node = new NodeProcess(
                run -> run.replaceFirst("-XX:SharedArchiveFile=\\S+", "-XX:DumpLoadedClassList=deploy/classes.lst"))) {
            node.exercise();
        }
    }
}

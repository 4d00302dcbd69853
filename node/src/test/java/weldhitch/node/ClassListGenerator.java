package weldhitch.node;

/**
 * Writes the list of classes for the build's class-data archive; run by hand whenever classes have changed. The
 * list holds what a node has loaded from its start through its first second to its shutdown. The command stands
 * in docs/restarts-and-releases.md.
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

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * A version is aborted because a member did not vote in time. The operator brings the member back and submits the same
 * file again, by a rename from the directory into which the coordinator has moved it. Checks that it becomes a version.
 */
final class Resubmitted {
    /** Vote timeout (10 s), member lease (3 s) and lead (0.5 s), twice over. */
    private static final double VERSION_SECONDS = 27;

    private static final String RULES = "version = 1\n[class.view-slots]\ndeadline = \"1200ms\"\n# end\n";

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, Resubmitted::run);
    }

    private static int run(Lab lab) throws Exception {
        List<Lab.Coordinator> coordinators = lab.coordinators(3, "abort");
        Lab.Discovery discovery = lab.new Discovery();
        for (int i = 1; i <= 3; i++) {
            discovery.put("server-" + i, "127.0.0.1:" + lab.serve(lab.server("server-" + i, 5)), "a", "ready");
        }
        String fleet = "version = 1\n[fleet]\ncluster = \"review\"\nstewards = [\"" + coordinators.get(0).address()
                + "\", \"" + coordinators.get(1).address() + "\", \"" + coordinators.get(2).address()
                + "\"]\ntell-version = true\n# end\n";
        Lab.Node first = lab.new Node("n1", 0, 2, discovery, fleet, Lab.settings());
        Lab.Node second = lab.new Node("n2", 1, 2, discovery, fleet, Lab.settings());
        first.program.start();
        second.program.start();
        lab.require("both nodes are ready", 25, () -> first.ready() && second.ready());
        Lab.Coordinator s1 = coordinators.get(0);
        Path versions = s1.home.resolve("versions");

        if (lab.trouble) {
            second.program.signal("STOP");
        }
        s1.layIn("rules.toml", RULES);
        if (lab.trouble) {
            lab.require(
                    "version 1 is aborted, because n2 did not vote",
                    25,
                    () -> s1.program.logText().contains("version 1 aborted"));
            second.program.signal("CONT");
            lab.require("n2 is ready again", 15, second::ready);
            Path taken = versions.resolve("taken").resolve("1-rules.toml");
            lab.require("the file of version 1 is in taken", 5, () -> Files.exists(taken));
            Files.move(taken, versions.resolve("rules.toml"));
            lab.log("operator renames versions/taken/1-rules.toml to versions/rules.toml of s1: submits it again");
        }
        boolean active = lab.await(
                "both nodes decide by a version of the file",
                VERSION_SECONDS,
                () -> first.version() >= 1 && second.version() >= 1);
        lab.log("versions/ now: " + list(versions));
        lab.log("state of s1: " + s1.state());
        s1.program.recordLog("version", "unusable", "disk");
        first.program.recordLog("version");
        second.program.recordLog("version");
        lab.log("a look-up at n1 was decided by version " + first.version());
        if (!active && Files.exists(versions.resolve("rules.toml"))) {
            // Not accepted yet: nothing is lost.
            return Lab.NOT_RUN;
        }
        return active ? Lab.HELD : Lab.BROKEN;
    }

    private static String list(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> directory.relativize(file).toString())
                    .sorted()
                    .toList()
                    .toString();
        }
    }
}

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The operator submits a version file with two mistakes, and later the corrected one. Checks that the coordinator
 * refuses the first, goes on answering, and that the second becomes a version.
 */
final class Unreadable {
    /** A member's lease, after which nodes reject all requests unless it is renewed. */
    private static final double LEASE_SECONDS = 3;

    private static final String CORRECT = "version = 1\n\n[class.view-slots]\nattempts = 2\n"
            + "retry-on = [\"connect-failed\", \"full\"]\nbudget = { share = 0.2, floor = 1 }\n# end\n";
    /** The same with two mistakes: a line stands twice, and the bracket that closes the list is missing. */
    private static final String WRONG =
            CORRECT.replace("attempts = 2\n", "attempts = 2\nattempts = 3\n").replace("\"full\"]", "\"full\"");

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, Unreadable::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Coordinator s1 = lab.coordinators(1, "fence").get(0);
        Lab.Discovery discovery = lab.new Discovery();
        for (int i = 1; i <= 3; i++) {
            discovery.put("server-" + i, "127.0.0.1:" + lab.serve(lab.server("server-" + i, 5)), "a", "ready");
        }
        String fleet = "version = 1\n[fleet]\ncluster = \"review\"\nstewards = [\"" + s1.address()
                + "\"]\ntell-version = true\n# end\n";
        Lab.Node node = lab.new Node("n1", 0, 1, discovery, fleet, Lab.settings());
        node.program.start();
        lab.require("the node is ready", 25, node::ready);
        Path versions = s1.home.resolve("versions");
        boolean refused = true;
        boolean answers = true;
        if (lab.trouble) {
            s1.layIn("rules.toml", WRONG);
            refused = lab.await(
                    "the file is in refused", 15, () -> Files.exists(versions.resolve("refused").resolve("rules.toml")));
            answers = lab.await("the coordinator answers", 15, () -> !s1.state().isEmpty());
            lab.await("the node serves", LEASE_SECONDS + 7, () -> node.version() >= 0);
            if (Files.exists(versions.resolve("rules.toml"))) {
                lab.log("operator renames the corrected file over the one that is still there");
                Files.delete(versions.resolve("rules.toml"));
            }
        }
        s1.layIn("rules.toml", CORRECT);
        boolean active = lab.await("the node decides by the corrected version", 25, () -> node.version() >= 1);
        Lab.Answer answer = node.lookUp();
        lab.log("a look-up at the node is answered " + answer.status);
        s1.program.recordLog("");
        node.program.recordLog("fleet", "rejected");
        return refused && answers && active ? Lab.HELD : Lab.BROKEN;
    }
}

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The operator submits a version file whose routes all match the same requests, and later a correct one. Checks that
 * the coordinator refuses the first and goes on answering, that the node goes on serving, and that the second becomes a
 * version.
 */
final class Equal {
    /** A quarter of the routes that a file may have. */
    private static final int ROUTES = 1250;

    private static final double REFUSED_SECONDS = 30;

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, Equal::run);
    }

    /** A file with a route for each clinic; a wrong one lacks the clinic in each path, one mistake of what made it. */
    private static String file(boolean wrong) {
        StringBuilder text = new StringBuilder("version = 1\n");
        for (int i = 1; i <= ROUTES; i++) {
            text.append("[[route]]\nname = \"clinic-" + i + "\"\nprefix = \"/book-visit" + (wrong ? "" : "/" + i)
                    + "\"\nattempts = 2\n\n");
        }
        return text + "# end\n";
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
        boolean serves = true;
        if (lab.trouble) {
            String wrong = file(true);
            s1.layIn("rules.toml", wrong);
            lab.log("the file has " + wrong.length() + " bytes and " + ROUTES + " routes");
            refused = lab.await(
                    "the file is in refused",
                    REFUSED_SECONDS,
                    () -> Files.exists(versions.resolve("refused").resolve("rules.toml")));
            answers = lab.await("the coordinator answers", 10, () -> !s1.state().isEmpty());
            serves = lab.await("the node serves", 10, () -> node.version() >= 0);
            if (Files.deleteIfExists(versions.resolve("rules.toml"))) {
                lab.log("operator removes the wrong file");
            }
        }
        s1.layIn("rules.toml", file(false));
        boolean active = lab.await("the node decides by the correct version", 25, () -> node.version() >= 1);
        Lab.Answer answer = node.lookUp();
        lab.log("a look-up at the node is answered " + answer.status);
        s1.program.recordLog("");
        node.program.recordLog("fleet", "rejected");
        return refused && answers && serves && active ? Lab.HELD : Lab.BROKEN;
    }
}

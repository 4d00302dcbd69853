import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A node is removed permanently by a file NAME.gone in the directory of the leader, while the other coordinators are
 * stopped. The leader accepts the file. Checks that the node is no member any more once there is a quorum again.
 */
final class Removed {
    private static final String RULES = "version = 1\n[class.view-slots]\ndeadline = \"1200ms\"\n# end\n";

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, Removed::run);
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
        Lab.Node lost = lab.new Node("n7", 1, 2, discovery, fleet, Lab.settings());
        first.program.start();
        lost.program.start();
        lab.require("both nodes are ready", 25, () -> first.ready() && lost.ready());
        lost.program.kill();
        // Longer than the last call of the lost node may wait for its answer at the leader.
        Lab.pause(3000);
        Lab.Coordinator leader = Lab.leader(coordinators);
        lab.log("state of the leader: " + leader.state());

        if (lab.trouble) {
            for (Lab.Coordinator coordinator : coordinators) {
                if (coordinator != leader) {
                    coordinator.program.signal("STOP");
                }
            }
        }
        leader.layIn("n7.gone", "");
        Path file = leader.home.resolve("versions/n7.gone");
        boolean accepted = lab.await("the leader has taken n7.gone", 3, () -> !Files.exists(file));
        if (lab.trouble) {
            Lab.pause(5000);
            for (Lab.Coordinator coordinator : coordinators) {
                if (coordinator != leader) {
                    coordinator.program.signal("CONT");
                }
            }
        }
        if (!accepted) {
            return Lab.NOT_RUN;
        }
        lab.require("a coordinator leads", 20, () -> Lab.leader(coordinators) != null);
        boolean removed = lab.await("n7 is no member", 20, () -> {
            Lab.Coordinator now = Lab.leader(coordinators);
            return now != null && !Lab.members(now).contains("\"n7\"");
        });
        coordinators.get(0).layIn("rules.toml", RULES);
        boolean active = lab.await("n1, the only member that is left, decides by the next version", 20, () ->
                first.version() >= 1);
        for (Lab.Coordinator coordinator : coordinators) {
            lab.log("state of " + coordinator.name + ": " + coordinator.state());
            coordinator.program.recordLog("removed", "version", "absent", "leader", "no-majority", "member");
        }
        return removed && active ? Lab.HELD : Lab.BROKEN;
    }
}

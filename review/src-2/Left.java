import java.util.List;

/**
 * The leader fails, and before another one leads a node gets SIGTERM. Checks that the node is no member any more once
 * there is a leader, and that the members that are left can activate a version.
 */
final class Left {
    private static final String RULES = "version = 1\n[class.view-slots]\ndeadline = \"1200ms\"\n# end\n";

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, Left::run);
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
        Lab.Node leaving = lab.new Node("n2", 1, 2, discovery, fleet, Lab.settings());
        first.program.start();
        leaving.program.start();
        lab.require("both nodes are ready", 25, () -> first.ready() && leaving.ready());
        Lab.Coordinator leader = Lab.leader(coordinators);
        lab.log("state of the leader: " + leader.state());
        if (lab.trouble) {
            leader.program.kill();
        }
        leaving.program.signal("TERM");
        lab.require("n2 has ended by itself", 10, () -> !leaving.program.isAlive());
        // No call of the node that has ended is waiting for its answer any more.
        Lab.pause(3000);
        lab.require("a coordinator leads", 20, () -> Lab.leader(coordinators) != null);
        boolean left = lab.await("n2 is no member", 20, () -> {
            Lab.Coordinator now = Lab.leader(coordinators);
            return now != null && !Lab.members(now).contains("\"n2\"");
        });
        Lab.leader(coordinators).layIn("rules.toml", RULES);
        boolean active = lab.await("n1, the only node that is left, decides by the next version", 25, () ->
                first.version() >= 1);
        for (Lab.Coordinator coordinator : coordinators) {
            lab.log("state of " + coordinator.name + ": " + coordinator.state());
            coordinator.program.recordLog("version", "absent", "leader", "member");
        }
        leaving.program.recordLog("fleet", "drain");
        return left && active ? Lab.HELD : Lab.BROKEN;
    }
}

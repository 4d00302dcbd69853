package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Three coordinators and three nodes that take part in route versions. Disruption: one node ends as planned, by
 * SIGTERM, and is not started again. Two seconds after its end an operator submits a version. Checks that the node has
 * left the membership, and that the version becomes active at the others. Without the disruption all three stay.
 */
final class PlannedEnd {
    private static final String VERSION = "version = 1\n[class.view-slots]\ndeadline = \"1s\"\n# end\n";

    private PlannedEnd() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, PlannedEnd::run);
    }

    private static int run(Lab lab) throws Exception {
        boolean left;
        boolean active;
        try (Platform platform = new Platform();
                Server server = new Server(request -> Server.ok("ran " + request.id()))) {
            platform.put("s-1", server.port(), "kacyiru", "ready");
            Coordinators coordinators = new Coordinators(lab, 3);
            Path operator = coordinators.operatorFile("");
            List<Process> nodes = new ArrayList<>();
            List<Integer> ports = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                ports.add(Lab.freePort());
                Path config = lab.folder.resolve("n" + (i + 1) + ".json");
                Files.writeString(
                        config,
                        platform.nodeConfig("n" + (i + 1), ports.get(i), Platform.CLASSES, "kacyiru", i, 3));
                nodes.add(lab.startNode("n" + (i + 1), config, operator));
            }
            for (int i = 0; i < 3; i++) {
                int port = ports.get(i);
                lab.require("n" + (i + 1) + " is ready", 40, () -> Lab.isReady(port));
            }
            Thread.sleep(2000);
            lab.note("members: " + coordinators.roster());
            if (lab.trouble) {
                Process node = nodes.get(2);
                lab.signal("n3", node, "TERM");
                if (!node.waitFor(6, TimeUnit.SECONDS)) {
                    lab.note("n3 has not ended");
                    return Lab.COULD_NOT_RUN;
                }
                lab.note("n3 has ended by itself");
            }
            Thread.sleep(2000);
            int leader = coordinators.leader();
            if (leader < 0) {
                return Lab.COULD_NOT_RUN;
            }
            String members = coordinators.roster();
            lab.note("members 2 s later: " + members);
            left = members != null && members.contains("n3") != lab.trouble;
            coordinators.submit(leader, "v1.toml", VERSION);
            active = Lab.await(30, () -> coordinators.activeVersion() >= 1);
            lab.note(active ? "the version is active" : "the version is not active 30 s after it was submitted");
            lab.note("members: " + coordinators.roster());
            for (int i = 0; i < 2; i++) {
                lab.note("n" + (i + 1) + " answers a look-up by version " + versionTold(ports.get(i), i));
            }
            for (int i = 0; i < coordinators.count(); i++) {
                lab.noteLog("s" + (i + 1), "event=");
                lab.noteLog("s" + (i + 1), "member-absent");
            }
        }
        return left && active ? Lab.HELD : Lab.BROKEN;
    }

    private static String versionTold(int port, int number) throws Exception {
        var response = java.net.http.HttpClient.newHttpClient()
                .send(
                        java.net.http.HttpRequest.newBuilder(
                                        java.net.URI.create("http://127.0.0.1:" + port + "/view-slots/1"))
                                .header("X-Trace-Id", String.format("%016x", 0x7000L + number))
                                .header("X-Qos", "view-slots")
                                .header("X-Expires-In", "1.500")
                                .build(),
                        java.net.http.HttpResponse.BodyHandlers.ofString());
        return response.headers().firstValue("X-Route-Version").orElse("?") + " (status " + response.statusCode() + ")";
    }
}

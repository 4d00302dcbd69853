package weldhitch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import weldhitch.capture.format.Documents;
import weldhitch.decision.Balancing.Action;
import weldhitch.decision.Balancing.Send;
import weldhitch.decision.Snapshot;
import weldhitch.replay.Player;
import weldhitch.replay.Player.Difference;

/** Plays a capture again by this build. Exit status 0 where every decision is the captured one, 1 where not. */
@Command(name = "replay", mixinStandardHelpOptions = true,
    description = "Plays a capture again by this build and holds each decision against the captured one: exit status 0 "
        + "where all are the same, 1 where not, 3 where it can't be read.")
final class Replay implements Callable<Integer> {
    private static final int MOST_SHOWN = 10;

    @Mixin
    private CaptureOption capture;
    @Option(names = "--until", paramLabel = "EVENT", description = "The last event to play, counted from 1.")
    private long until = Long.MAX_VALUE;
    @Option(names = "--from-each", description = "Takes up every snapshot instead of holding it against what is known by then.")
    private boolean fromEach;
    @Option(names = "--state", description = "Prints all that the module knows after the last event played.")
    private boolean state;

    @Override
    public Integer call() throws Exception {
        long begun = System.nanoTime();
        Player player = new Player(null, fromEach).until(until, Long.MAX_VALUE);
        return capture.read(player, () -> {
            double seconds = (System.nanoTime() - begun) / 1e9;
            Difference first = player.differences().isEmpty() ? null : player.differences().get(0);
            Snapshot around = first == null ? null : before(first);
            if (capture.json()) {
                capture.out().println(json(player, first, around).toPrettyString());
            } else {
                text(player, first, around, seconds);
            }
            return player.differences().isEmpty() && player.events() > 0 ? 0 : 1;
        });
    }

    /** What this build knows just before the event at which the two part. */
    private Snapshot before(Difference first) throws Exception {
        Player again = new Player(null, fromEach).until(first.number() - 1, Long.MAX_VALUE);
        Snapshot[] found = {null};
        Integer status = capture.read(again, () -> {
            found[0] = again.snapshot();
            return 0;
        });
        return status == 0 ? found[0] : null;
    }

    private void text(Player player, Difference first, Snapshot around, double seconds) {
        PrintWriter out = capture.out();
        out.printf(Locale.ROOT, "%d events played, %d decisions, %d snapshots, %.1f s of the node's time in %.1f s%n", player.events(),
            player.actions(), player.snapshots(), player.span() / 1e9, seconds);
        if (player.skipped() + player.missed() + player.damages() > 0) {
            out.printf("%d events not written by the node, %d damaged parts, %d events skipped for want of a snapshot%n",
                player.missed(), player.damages(), player.skipped());
        }
        if (first == null) {
            out.println(player.events() == 0 ? "nothing to play: no snapshot in it" : "every decision is the captured one");
        } else {
            for (Difference each : player.differences().stream().limit(MOST_SHOWN).toList()) {
                out.printf(Locale.ROOT, "event %d: %s%n", each.number(), each.what());
                if (each.told() != null) {
                    out.println("  told:     " + each.told().event());
                    out.println("  captured: " + each.told().actions());
                    out.println("  here:     " + each.replayed());
                }
            }
            if (player.differences().size() > MOST_SHOWN) {
                out.println("and " + (player.differences().size() - MOST_SHOWN) + " more, each after a new beginning");
            }
            if (around != null) {
                out.println("known before event " + first.number() + ":");
                concerned(first, around).forEach(part -> out.println("  " + part));
            }
        }
        if (state && player.snapshot() != null) {
            out.println(Documents.tree(player.snapshot()).toPrettyString());
        }
    }

    /** The request and the servers that either side speaks of. */
    private static List<JsonNode> concerned(Difference first, Snapshot around) {
        List<Action> both = new java.util.ArrayList<>(first.replayed());
        if (first.told() != null) {
            both.addAll(first.told().actions());
        }
        List<String> named = both.stream().filter(Send.class::isInstance).map(Send.class::cast)
            .flatMap(s -> java.util.stream.Stream.of(s.request(), s.server())).distinct().toList();
        List<JsonNode> found = new java.util.ArrayList<>();
        JsonNode tree = Documents.tree(around);
        for (String list : List.of("requests", "servers")) {
            tree.path(list).forEach(part -> {
                if (named.contains(part.path("id").asText())) {
                    found.add(part);
                }
            });
        }
        return found;
    }

    private ObjectNode json(Player player, Difference first, Snapshot around) {
        ObjectNode all = JsonNodeFactory.instance.objectNode();
        all.put("same", player.differences().isEmpty() && player.events() > 0).put("events", player.events())
            .put("decisions", player.actions()).put("snapshots", player.snapshots()).put("skipped", player.skipped())
            .put("missed", player.missed()).put("damages", player.damages()).put("spanSeconds", player.span() / 1e9);
        ArrayNode differences = all.putArray("differences");
        for (Difference each : player.differences()) {
            ObjectNode one = differences.addObject().put("event", each.number()).put("what", each.what());
            if (each.told() != null) {
                one.put("told", each.told().event().toString()).put("captured", each.told().actions().toString())
                    .put("here", each.replayed().toString());
            }
        }
        if (first != null && around != null) {
            all.putArray("knownBefore").addAll(concerned(first, around));
        }
        if (state && player.snapshot() != null) {
            all.set("state", Documents.tree(player.snapshot()));
        }
        return all;
    }
}

package weldhitch.lab.site;

import org.apache.commons.rng.UniformRandomProvider;
import weldhitch.fleet.locality.FleetView;
import weldhitch.fleet.locality.Locality;
import weldhitch.fleet.locality.NodeReport;
import weldhitch.fleet.locality.ZoneBoard;

/**
 * The leading coordinator of a simulated cluster and the heartbeats of its nodes: one report from each node
 * five times a second, messages some milliseconds under way and lost with a given probability. Single-threaded,
 * on the event scheduler.
 */
final class SimStewards {
    private static final long MS = 1_000_000L;
    private static final long EVERY = 200 * MS;
    private static final long LONGEST_WAY = 20 * MS;

    private final Clockwork clock;
    private final UniformRandomProvider random;
    private final double loss;
    private final int members;
    private final ZoneBoard board;

    SimStewards(Clockwork clock, UniformRandomProvider random, double loss, int members) {
        this.clock = clock;
        this.random = random;
        this.loss = loss;
        this.members = members;
        board = new ZoneBoard(clock.now() - ZoneBoard.GRANT, 0.002);
    }

    /** From now on this node sends heartbeats. */
    void joins(String node, Locality locality) {
        clock.after(random.nextLong(EVERY), () -> call(node, locality));
    }

    private void call(String node, Locality locality) {
        long sentAt = clock.now();
        NodeReport report = locality.report(sentAt);
        way(() -> {
            board.heard(node, report, clock.now());
            FleetView view = board.answer(node, members, clock.now());
            way(() -> locality.heard(view, sentAt, clock.now()));
        });
        clock.after(EVERY, () -> call(node, locality));
    }

    private void way(Runnable arrives) {
        long delay = random.nextLong(LONGEST_WAY);
        if (random.nextDouble() >= loss) {
            clock.after(delay, arrives);
        }
    }
}

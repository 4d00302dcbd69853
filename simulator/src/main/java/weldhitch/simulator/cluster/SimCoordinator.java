package weldhitch.simulator.cluster;

import org.apache.commons.rng.UniformRandomProvider;
import weldhitch.fleet.locality.FleetView;
import weldhitch.fleet.locality.NodeLoadReport;
import weldhitch.fleet.locality.ZoneLoadAggregator;
import weldhitch.fleet.locality.ZoneSelector;

/**
 * The leading coordinator of a simulated cluster and the heartbeats of its nodes. Each node sends five reports a
 * second. Messages take up to 20 ms and are lost with a given probability. Single-threaded, on the event
 * scheduler.
 */
final class SimCoordinator {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long REPORT_INTERVAL = 200 * NANOS_PER_MILLI;
    private static final long MAX_DELIVERY_DELAY = 20 * NANOS_PER_MILLI;

    private final EventScheduler scheduler;
    private final UniformRandomProvider random;
    private final double messageLoss;
    private final int nodeCount;
    private final ZoneLoadAggregator aggregator;

    SimCoordinator(EventScheduler scheduler, UniformRandomProvider random, double messageLoss, int nodeCount) {
        this.scheduler = scheduler;
        this.random = random;
        this.messageLoss = messageLoss;
        this.nodeCount = nodeCount;
        aggregator = new ZoneLoadAggregator(scheduler.now() - ZoneLoadAggregator.GRANT_DURATION, 0.002);
    }

    /** Starts the heartbeats of a node. */
    void join(String nodeName, ZoneSelector zoneSelector) {
        scheduler.schedule(random.nextLong(REPORT_INTERVAL), () -> sendReport(nodeName, zoneSelector));
    }

    private void sendReport(String nodeName, ZoneSelector zoneSelector) {
        long sentAt = scheduler.now();
        NodeLoadReport report = zoneSelector.loadReport(sentAt);
        deliver(() -> {
            aggregator.onReport(nodeName, report, scheduler.now());
            FleetView view = aggregator.viewFor(nodeName, nodeCount, scheduler.now());
            deliver(() -> zoneSelector.onFleetView(view, sentAt, scheduler.now()));
        });
        scheduler.schedule(REPORT_INTERVAL, () -> sendReport(nodeName, zoneSelector));
    }

    private void deliver(Runnable delivery) {
        long delay = random.nextLong(MAX_DELIVERY_DELAY);
        if (random.nextDouble() >= messageLoss) {
            scheduler.schedule(delay, delivery);
        }
    }
}

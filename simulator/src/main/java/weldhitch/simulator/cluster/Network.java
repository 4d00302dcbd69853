package weldhitch.simulator.cluster;

import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import weldhitch.simulator.scenario.Scenario;

/**
 * Carries messages between zones with a random delay and loss, and drops all that enter or leave a partitioned
 * zone. Single-threaded, on the event scheduler.
 */
final class Network implements SimNode.Transport {
    private final EventScheduler scheduler;
    private final Scenario scenario;
    private final UniformRandomProvider random;
    private final Set<String> partitionedZones = new LinkedHashSet<>();

    Network(EventScheduler scheduler, Scenario scenario, UniformRandomProvider random) {
        this.scheduler = scheduler;
        this.scenario = scenario;
        this.random = random;
    }

    /** Partitions a zone from the others, or reconnects it. */
    void setPartitioned(String zone, boolean partitioned) {
        if (partitioned) {
            partitionedZones.add(zone);
        } else {
            partitionedZones.remove(zone);
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>The delay is drawn for lost messages as well.
     */
    @Override
    public void deliver(String from, String to, Runnable delivery) {
        boolean sameZone = from.equals(to);
        long delay =
                Math.max(0, (long) (sameZone ? scenario.sameZoneDelay() : scenario.crossZoneDelay()).sample(random));
        boolean dropped = scenario.messageLoss() > 0 && random.nextDouble() < scenario.messageLoss();
        if (!dropped && (sameZone || !partitionedZones.contains(from) && !partitionedZones.contains(to))) {
            scheduler.schedule(delay, delivery);
        }
    }
}

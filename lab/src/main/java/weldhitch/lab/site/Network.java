package weldhitch.lab.site;

import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import weldhitch.lab.scenario.Scenario;

/**
 * Carries messages between zones with a random delay and loss, and drops all that enter or leave a partitioned
 * zone. Single-threaded, on the event scheduler.
 */
final class Network implements SimNode.Links {
    private final Clockwork clock;
    private final Scenario scenario;
    private final UniformRandomProvider random;
    private final Set<String> cut = new LinkedHashSet<>();

    Network(Clockwork clock, Scenario scenario, UniformRandomProvider random) {
        this.clock = clock;
        this.scenario = scenario;
        this.random = random;
    }

    /** Cuts a zone off from the others, or reconnects it. */
    void cut(String zone, boolean off) {
        if (off) {
            cut.add(zone);
        } else {
            cut.remove(zone);
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>The delay is drawn for lost messages too.
     */
    @Override
    public void carry(String from, String to, Runnable arrives) {
        boolean near = from.equals(to);
        long delay = Math.max(0, (long) (near ? scenario.sameZone() : scenario.crossZone()).draw(random));
        boolean lost = scenario.loss() > 0 && random.nextDouble() < scenario.loss();
        if (!lost && (near || !cut.contains(from) && !cut.contains(to))) {
            clock.after(delay, arrives);
        }
    }
}

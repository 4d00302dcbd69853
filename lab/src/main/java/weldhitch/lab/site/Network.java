package weldhitch.lab.site;

import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import weldhitch.lab.scenario.Scenario;

/** Carries messages between zones: late by a draw, lost now and then, and not at all where a zone is cut off. */
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

    void cut(String zone, boolean off) {
        if (off) {
            cut.add(zone);
        } else {
            cut.remove(zone);
        }
    }

    /** What arrives does so later; what does not is never heard of. */
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

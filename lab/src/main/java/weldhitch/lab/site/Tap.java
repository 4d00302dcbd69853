package weldhitch.lab.site;

import java.util.List;
import java.util.function.Supplier;
import weldhitch.decision.Balancing.Action;
import weldhitch.decision.Balancing.Event;
import weldhitch.decision.Balancing.Settings;
import weldhitch.decision.Snapshot;

/** Receives every event and every action of one node, in order, on the thread of the simulation. */
public interface Tap {
    /** An incarnation of the node has started; {@code module} gives snapshots of its balancer from now on. */
    void starts(Settings settings, Supplier<Snapshot> module);

    /**
     * Called before each event is handled, so that a snapshot can be taken.
     *
     * @param now nanoseconds of virtual time
     */
    void before(long now);

    /** The balancer has handled an event and decided on these actions. */
    void told(long now, Event event, List<Action> actions);
}

package weldhitch.simulator.cluster;

import java.util.List;
import java.util.function.Supplier;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.snapshot.BalancerSnapshot;

/** Receives every event and every action of one node, in order, on the thread of the simulation. */
public interface BalancerTap {
    /** Called when an incarnation of the node starts; {@code snapshotSource} then returns its balancer's state. */
    void onStart(BalancerSettings settings, Supplier<BalancerSnapshot> snapshotSource);

    /**
     * Called before each event is handled, so that a snapshot can be taken.
     *
     * @param now nanoseconds of virtual time
     */
    void beforeEvent(long now);

    /** Called after the balancer has handled an event and decided on these actions. */
    void onEvent(long now, BalancerEvent event, List<BalancerAction> actions);
}

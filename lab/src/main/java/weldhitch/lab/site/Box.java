package weldhitch.lab.site;

import weldhitch.decision.Balancing.Outcome;

/** An endpoint as a simulated node sees it. */
public interface Box {
    /** Receives the outcome of an attempt; never called if the node hears nothing of it. */
    interface Reply {
        /** Called at most once for each attempt. */
        void ended(Outcome outcome);
    }

    /** The zone that it is in. */
    String zone();

    /** Handles an attempt. */
    void take(Call call, Reply reply);
}

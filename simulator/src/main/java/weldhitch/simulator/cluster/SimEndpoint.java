package weldhitch.simulator.cluster;

import weldhitch.decision.endpoint.AttemptOutcome;

/** An endpoint as a simulated node sees it. */
public interface SimEndpoint {
    /** Receives the outcome of an attempt; never called if the node gets no response. */
    interface AttemptCallback {
        /** Called at most once for each attempt. */
        void onAttemptEnded(AttemptOutcome outcome);
    }

    /** Returns the zone that the endpoint is in. */
    String zone();

    /** Handles an attempt. */
    void handle(SimCall call, AttemptCallback callback);
}

package weldhitch.lab.site;

import weldhitch.decision.Balancing.Outcome;

/** A modelled server, as a node sees it. */
public interface Box {
    /** Hears how an attempt ended; never called for one of which nothing is heard. */
    interface Reply {
        void ended(Outcome outcome);
    }

    String zone();

    void take(Call call, Reply reply);
}

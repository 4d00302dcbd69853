package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.List;
import weldhitch.decision.snapshot.BalancerSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.EndpointSnapshot;

/**
 * A snapshot taken incrementally between events, some endpoints at a time, so that a large fleet does not
 * block the event loop. It is consistent with the instant at which it was begun: everything but the endpoints
 * is saved then, and an endpoint that changes before its turn is saved first (copy on write). It belongs to
 * the balancer's thread; once {@link #saveNext} has returned true, another thread to which it is safely published
 * may call {@link #snapshot}.
 */
public final class IncrementalSnapshot {
    /** Assembles the snapshot from the saved endpoints and everything else, which it has already. */
    interface SnapshotAssembler {
        BalancerSnapshot assemble(List<EndpointSnapshot> endpoints);
    }

    /** Saves one endpoint. */
    interface EndpointSaver {
        EndpointSnapshot save(Endpoint endpoint, boolean listed);
    }

    private final List<Endpoint> endpoints = new ArrayList<>();
    private int listedCount;
    private EndpointSaver saver;
    private SnapshotAssembler assembler;
    private EndpointSnapshot[] saved;
    private int next;
    private volatile boolean complete;

    IncrementalSnapshot() {}

    /** Returns the endpoint's index, which is assigned at its first mention. */
    int indexOf(Endpoint endpoint) {
        if (endpoint.pendingSnapshot != this) {
            endpoint.pendingSnapshot = this;
            endpoint.snapshotIndex = endpoints.size();
            endpoints.add(endpoint);
        }
        return endpoint.snapshotIndex;
    }

    /** The endpoints mentioned so far are those of the list; only attempts refer to the ones that follow. */
    void markListComplete() {
        listedCount = endpoints.size();
    }

    /** All endpoints have been mentioned: saving can start. */
    void start(EndpointSaver endpointSaver, SnapshotAssembler snapshotAssembler) {
        saver = endpointSaver;
        assembler = snapshotAssembler;
        saved = new EndpointSnapshot[endpoints.size()];
    }

    /** Saves an endpoint that is not saved yet; called before it changes. */
    void save(Endpoint endpoint) {
        endpoint.pendingSnapshot = null;
        saved[endpoint.snapshotIndex] = saver.save(endpoint, endpoint.snapshotIndex < listedCount);
    }

    /** Saves at most this many more endpoints; returns true once all are saved. */
    public boolean saveNext(int max) {
        int end = (int) Math.min(endpoints.size(), (long) next + max);
        for (; next < end; next++) {
            Endpoint endpoint = endpoints.get(next);
            if (endpoint.pendingSnapshot == this) {
                save(endpoint);
            }
        }
        complete |= next == endpoints.size();
        return complete;
    }

    /** Whether everything is saved; may be called on any thread. */
    public boolean complete() {
        return complete;
    }

    /**
     * Returns the complete snapshot.
     *
     * @throws IllegalStateException if endpoints are still to be saved
     */
    public BalancerSnapshot snapshot() {
        if (!complete) {
            throw new IllegalStateException(next + " of " + endpoints.size() + " servers are saved");
        }
        return assembler.assemble(List.of(saved));
    }

    /** Saves the remaining endpoints and returns the snapshot. */
    public BalancerSnapshot finish() {
        saveNext(Integer.MAX_VALUE);
        return snapshot();
    }
}

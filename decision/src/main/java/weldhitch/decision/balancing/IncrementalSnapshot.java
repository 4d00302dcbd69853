package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.List;
import weldhitch.decision.snapshot.BalancerSnapshot;
import weldhitch.decision.snapshot.BalancerSnapshot.EndpointSnapshot;

/**
 * A snapshot that is taken incrementally between events, some endpoints at a time, so that it does not block the event
 * loop in a large fleet. It is consistent with the instant at which it was begun: all state except the endpoints is
 * saved then, and an endpoint that changes before its turn is saved first (copy on write). Owned by the balancer's
 * thread. Once {@link #saveNext} has returned true, another thread to which this object is safely published may call
 * {@link #snapshot}.
 */
public final class IncrementalSnapshot {
    /** Assembles the snapshot from the saved endpoints and the other state, which was saved when the snapshot began. */
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

    /** Returns the endpoint's index, which is assigned by the first call for the endpoint. */
    int indexOf(Endpoint endpoint) {
        if (endpoint.pendingSnapshot != this) {
            endpoint.pendingSnapshot = this;
            endpoint.snapshotIndex = endpoints.size();
            endpoints.add(endpoint);
        }
        return endpoint.snapshotIndex;
    }

    /** Marks the endpoints indexed so far as those of the endpoint list; only attempts refer to later ones. */
    void markListComplete() {
        listedCount = endpoints.size();
    }

    /** Prepares the saving of the endpoints. Called once all of them have an index. */
    void start(EndpointSaver endpointSaver, SnapshotAssembler snapshotAssembler) {
        saver = endpointSaver;
        assembler = snapshotAssembler;
        saved = new EndpointSnapshot[endpoints.size()];
    }

    /** Saves an endpoint that is not saved yet. Also called before the endpoint changes. */
    void save(Endpoint endpoint) {
        endpoint.pendingSnapshot = null;
        saved[endpoint.snapshotIndex] = saver.save(endpoint, endpoint.snapshotIndex < listedCount);
    }

    /** Saves at most {@code max} more endpoints, and returns whether all are saved. */
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

    /** Returns whether all endpoints are saved. May be called on any thread. */
    public boolean complete() {
        return complete;
    }

    /**
     * Returns the complete snapshot.
     *
     * @throws IllegalStateException if not all endpoints are saved
     */
    public BalancerSnapshot snapshot() {
        if (!complete) {
            throw new IllegalStateException(next + " of " + endpoints.size() + " endpoints are saved, expected all");
        }
        return assembler.assemble(List.of(saved));
    }

    /** Saves the remaining endpoints and returns the snapshot. */
    public BalancerSnapshot finish() {
        saveNext(Integer.MAX_VALUE);
        return snapshot();
    }
}

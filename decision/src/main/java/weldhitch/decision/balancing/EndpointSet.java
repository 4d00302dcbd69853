package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.random.SeededRandom;
import weldhitch.decision.settings.PlatformRules;

/**
 * The endpoint list, and its ready endpoints in ring order (the one-to-n table of Küting et al., section 3.1). Owns the
 * failure counts of the zones and the {@link SlowStartCredits}. Times are nanoseconds. Not thread-safe; owned by the
 * balancer's thread.
 */
final class EndpointSet {
    /** All endpoints of the list, including draining ones. */
    final Map<String, Endpoint> byId = new LinkedHashMap<>();

    final Map<String, DecayingFailureCount> failuresByZone = new LinkedHashMap<>();
    /** Ready endpoints, which may be sent attempts, in the ring order that all nodes share; rebuilt at each update. */
    final List<Endpoint> ready = new ArrayList<>();

    final SlowStartCredits slowStart;

    EndpointSet(PlatformRules rules) {
        slowStart = new SlowStartCredits(rules, ready);
    }

    /** Applies an update of the list. Draws a random number for each endpoint that is new or has restarted. */
    void apply(EndpointsChanged change, SeededRandom random, long now) {
        if (change.kind() != EndpointUpdateKind.DELTA) {
            Map<String, Endpoint> unlisted = new LinkedHashMap<>(byId);
            change.entries().forEach(e -> unlisted.remove(e.endpointId()));
            unlisted.keySet().forEach(byId::remove);
        }
        change.entries().forEach(e -> apply(e, random));
        slowStart.onEndpointsChanged(byId.values(), now);
        rebuildReady();
    }

    private void apply(EndpointEntry entry, SeededRandom random) {
        if (entry.state() == EndpointState.REMOVED) {
            byId.remove(entry.endpointId());
            return;
        }
        Endpoint endpoint = byId.get(entry.endpointId());
        if (endpoint == null || endpoint.startedAt != entry.startedAt()) {
            String zone = String.valueOf(entry.zone());
            endpoint = new Endpoint(entry.endpointId(), zone, entry.cell(), entry.startedAt(), failuresOfZone(zone));
            // Random, so that the nodes do not all send their first attempt to the endpoint at the same moment.
            endpoint.slowStartCredit = random.nextDouble();
            byId.put(entry.endpointId(), endpoint);
        }
        endpoint.update(entry);
    }

    /** Returns the failure count that all endpoints of the zone share. */
    DecayingFailureCount failuresOfZone(String name) {
        return failuresByZone.computeIfAbsent(name, z -> new DecayingFailureCount());
    }

    /** Collects the ready endpoints and sorts them by ring position. */
    void rebuildReady() {
        ready.clear();
        for (Endpoint endpoint : byId.values()) {
            if (endpoint.state == EndpointState.READY) {
                ready.add(endpoint);
            }
        }
        ready.sort(Comparator.<Endpoint>comparingInt(endpoint -> endpoint.ringPosition)
                .thenComparing(endpoint -> endpoint.id));
    }

    /** Returns the sum of the ready endpoints' weights. */
    double totalWeight() {
        return ready.stream().mapToDouble(endpoint -> endpoint.weight).sum();
    }
}

package weldhitch.lab.scenario;

import java.util.List;
import weldhitch.decision.Balancing.RequestClass;

/**
 * What the laboratory plays. Spans and times are nanoseconds, times from the start.
 *
 * @param length what is counted; after it callers send nothing more and what is open ends
 * @param load the part of the servers' capacity that first tries ask for, where {@code perSecond} is 0
 */
public record Scenario(String name, long length, List<String> zones, int nodes, int tier, Draws listDelay,
        boolean secondCopies, int maxAttempts, double crossZonePrice, Draws sameZone, Draws crossZone, double loss,
        List<Servers> servers, List<Kind> kinds, double load, double perSecond, int retries, double tryShare, long backoff,
        double honour, List<Point> curve, List<Trouble> troubles) {
    public Scenario {
        zones = List.copyOf(zones);
        servers = List.copyOf(servers);
        kinds = List.copyOf(kinds);
        curve = List.copyOf(curve);
        troubles = List.copyOf(troubles);
    }

    /** Servers of one kind; {@code zone} null spreads them over all. Work is divided by {@code speed}. */
    public record Servers(int count, String zone, Draws speed, Draws slots, Draws queue, double coldShare, long coldSpan) {
    }

    /** A class of requests, its part of all, the work it does on a core and what it waits for elsewhere. */
    public record Kind(RequestClass about, double share, Draws work, Draws waits) {
    }

    /** From here on so many times the usual, for all classes or one; between two points it changes evenly. */
    public record Point(long at, double factor, String requestClass) {
    }

    /** What goes wrong, and for how long. */
    public enum TroubleKind { STALL, FULL, SLOW, ERRORS, SILENT, RELEASE, RESTART_NODE, CUT_ZONE }

    /**
     * @param servers how many of the zone's, or of all where null
     * @param factor how many times slower
     * @param every between two servers of a release
     */
    public record Trouble(long at, TroubleKind kind, long span, int servers, String zone, int node, double factor, long every) {
    }

    /** The same at another size: so many nodes, and all kinds of servers scaled to so many together; 0 leaves as it is. */
    public Scenario sized(int newNodes, int newServers) {
        int before = servers.stream().mapToInt(Servers::count).sum();
        List<Servers> scaled = newServers <= 0 ? servers : servers.stream().map(s -> new Servers(
            Math.max(1, (int) Math.round((double) s.count * newServers / before)), s.zone, s.speed, s.slots, s.queue, s.coldShare,
            s.coldSpan)).toList();
        double scale = (double) scaled.stream().mapToInt(Servers::count).sum() / before;
        return new Scenario(name, length, zones, newNodes > 0 ? newNodes : nodes, tier, listDelay, secondCopies, maxAttempts,
            crossZonePrice, sameZone, crossZone, loss, scaled, kinds, load, perSecond * scale, retries, tryShare, backoff, honour,
            curve, troubles);
    }

    /** The same, but so long. */
    public Scenario lasting(long nanos) {
        return new Scenario(name, nanos, zones, nodes, tier, listDelay, secondCopies, maxAttempts, crossZonePrice, sameZone,
            crossZone, loss, servers, kinds, load, perSecond, retries, tryShare, backoff, honour, curve, troubles);
    }
}

package weldhitch.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldhitch.decision.Balancing.*;

/**
 * The endpoint list, its ready endpoints in ring order, and the slow-start credit that limits what endpoints
 * in slow start are sent. Times are nanoseconds. Not thread-safe; owned by the balancer's thread.
 */
final class Upstreams {
    /** Slow-start credit as a multiple of a warm endpoint's served calls, scaled by the present capacity. */
    private static final double COLD_SHARE = 1.0;
    /** Time constant of the average of the served rate. */
    private static final double CARRIED_OVER = 5e9;
    /** Idle time beyond this does not lower the served rate, as it says nothing about capacity. */
    private static final long IDLE = 1_000_000_000L;

    private final Rules rules;
    final Map<String, Upstream> all = new LinkedHashMap<>();
    final Map<String, Failures> zones = new LinkedHashMap<>();
    /** Endpoints that may be sent to, in the ring order that all nodes share; rebuilt at each update. */
    final List<Upstream> ready = new ArrayList<>();
    /** Ready endpoints that were in slow start when last checked. */
    final List<Upstream> cold = new ArrayList<>();
    /**
     * Served rate: calls per nanosecond that a warm endpoint serves this node; the last one known, 0 before
     * any.
     */
    double carried;
    /** When {@link #carried} was updated, or credit was last earned by it. */
    long carriedAt;

    Upstreams(Rules rules) {
        this.rules = rules;
    }

    void apply(Membership news, SeededRandom random, long now) {
        if (news.kind() != ListKind.CHANGES) {
            Map<String, Upstream> before = new LinkedHashMap<>(all);
            news.entries().forEach(e -> before.remove(e.server()));
            before.keySet().forEach(all::remove);
        }
        news.entries().forEach(e -> apply(e, random));
        cold.clear();
        for (Upstream server : all.values()) {
            if (server.state == ServerState.READY && isCold(server, now)) {
                cold.add(server);
            }
        }
        sortReady();
    }

    private void apply(ServerEntry entry, SeededRandom random) {
        if (entry.state() == ServerState.GONE) {
            all.remove(entry.server());
            return;
        }
        Upstream server = all.get(entry.server());
        if (server == null || server.startedAt != entry.startedAt()) {
            String zone = String.valueOf(entry.zone());
            server = new Upstream(entry.server(), zone, entry.cell(), entry.startedAt(), zone(zone));
            // Random, so that not all nodes send their first call to the endpoint at the same moment.
            server.credit = random.nextDouble();
            all.put(entry.server(), server);
        }
        server.take(entry);
    }

    Failures zone(String name) {
        return zones.computeIfAbsent(name, z -> new Failures());
    }

    void sortReady() {
        ready.clear();
        for (Upstream server : all.values()) {
            if (server.state == ServerState.READY) {
                ready.add(server);
            }
        }
        ready.sort(Comparator.<Upstream>comparingInt(s -> s.place).thenComparing(s -> s.id));
    }

    double strength() {
        return ready.stream().mapToDouble(s -> s.size).sum();
    }

    boolean isCold(Upstream server, long now) {
        boolean coldNow = server.startedAt > 0 && now - server.startedAt < rules.coldSpan();
        server.cold(coldNow);
        return coldNow;
    }

    double rampNow(Upstream server, long now) {
        if (!server.isColdListed) {
            return 1;
        }
        double age = Math.max(0, (double) (now - server.startedAt) / rules.coldSpan());
        double start = rules.startCapacity();
        return Math.min(1, start + (1 - start) * age);
    }

    void servedBy(Upstream server, long now) {
        if (!server.isColdListed) {
            double calls = 1.0 / Math.max(1, ready.size() - cold.size());
            carried = carried * Math.exp(-Math.min(now - carriedAt, IDLE) / CARRIED_OVER) + calls / CARRIED_OVER;
            carriedAt = now;
            earnCredit(COLD_SHARE * calls, now);
        }
    }

    /**
     * A request arrived: earns credit by arrivals where no endpoint was ever warm, as nothing else is known
     * then. If all endpoints are in slow start but some were warm before, credit is earned by the clock from
     * their served rate ({@link #passed}): by arrivals it would fall as callers fail for lack of capacity.
     */
    void arrived(long now) {
        if (cold.size() == ready.size() && carried == 0) {
            earnCredit(0.7 / Math.max(1, ready.size()), now);
        }
    }

    /** Called before each pick: earns credit for elapsed time if all endpoints are in slow start. */
    void passed(long now) {
        if (carried > 0 && !cold.isEmpty() && cold.size() == ready.size()) {
            double calls = carried * (now - carriedAt);
            carriedAt = now;
            earnCredit(rules.fallMultiple() / 2 * calls, now);
        }
    }

    /**
     * Credits each endpoint in slow start with its part of the calls that warm endpoints served: what a warm
     * endpoint of its size serves, scaled to its present capacity. Summed over all nodes this stays below the
     * platform's overload multiple.
     */
    private void earnCredit(double calls, long now) {
        if (cold.isEmpty()) {
            return;
        }
        cold.removeIf(server -> !isCold(server, now));
        double meanSize = 0;
        for (Upstream server : ready) {
            meanSize += server.size / ready.size();
        }
        for (Upstream server : cold) {
            server.credit(calls * rampNow(server, now) * server.size / meanSize);
        }
    }
}

package weldhitch.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldhitch.decision.Balancing.*;

/** The list of servers, those of it that are ready, and the limit on what cold ones are sent. Times are nanoseconds. */
final class Upstreams {
    /** How much of a warm server's served calls, scaled by its present capacity, a cold one is sent. */
    private static final double COLD_SHARE = 1.0;
    /** Time over which what a warm server carries is averaged. */
    private static final double CARRIED_OVER = 5e9;
    /** A longer time without a call says nothing of what servers can carry. */
    private static final long IDLE = 1_000_000_000L;

    private final Rules rules;
    final Map<String, Upstream> all = new LinkedHashMap<>();
    final Map<String, Failures> zones = new LinkedHashMap<>();
    /** Those to be sent to, in an order that all nodes share; made from the list at each change. */
    final List<Upstream> ready = new ArrayList<>();
    /** Ready ones that were cold at the last look. */
    final List<Upstream> cold = new ArrayList<>();
    /** Calls a nanosecond that a warm server serves this node; as last seen where none is warm, 0 before any was. */
    double carried;
    /** When {@link #carried} was brought up to date, or cold servers last earned by it. */
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
            // Spread over the nodes, or all of them would send their first call in the same moment.
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
     * Where all are cold there are no warm servers' calls to go by. What those carried that there were stands for them,
     * by the clock: by what arrives, cold servers would be sent the less the more callers fail for want of them. Where
     * none was ever warm, arrivals are all that is known.
     */
    void arrived(long now) {
        if (cold.size() == ready.size() && carried == 0) {
            earnCredit(0.7 / Math.max(1, ready.size()), now);
        }
    }

    /** Ahead of each draw. */
    void passed(long now) {
        if (carried > 0 && !cold.isEmpty() && cold.size() == ready.size()) {
            double calls = carried * (now - carriedAt);
            carriedAt = now;
            earnCredit(rules.fallMultiple() / 2 * calls, now);
        }
    }

    /**
     * Every call that warm servers served earns each cold one its part of a call: what a warm one of its size carries,
     * scaled to its present capacity. Summed over all nodes that stays under the rule's multiple.
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

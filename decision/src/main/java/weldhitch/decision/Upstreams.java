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

    private final Rules rules;
    final Map<String, Upstream> all = new LinkedHashMap<>();
    final Map<String, Failures> zones = new LinkedHashMap<>();
    /** Those to be sent to, in an order that all nodes share; made from the list at each change. */
    final List<Upstream> ready = new ArrayList<>();
    /** Ready ones that were cold at the last look. */
    final List<Upstream> cold = new ArrayList<>();

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
            earnCredit(1.0 / Math.max(1, ready.size() - cold.size()), now);
        }
    }

    /** Where all are cold, arrivals stand for the served calls that there are none of. */
    void arrived(long now) {
        if (cold.size() == ready.size()) {
            earnCredit(0.7 / Math.max(1, ready.size()), now);
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
            server.credit(COLD_SHARE * calls * rampNow(server, now) * server.size / meanSize);
        }
    }
}

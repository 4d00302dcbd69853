package weldhitch.decision.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import weldhitch.decision.Balancing.*;
import weldhitch.decision.sim.SimulatedNode.Answered;

/**
 * A small site in simulated time: nodes that each run the module, servers that are modelled, and clients that retry
 * what is refused up to three times. All of it hangs on one seed.
 */
final class Fleet {
    static final long MS = 1_000_000L;
    static final long SECOND = 1000 * MS;
    private static final int RETRIES = 3;
    private static final double TRY_SHARE = 0.55;
    private static final long NOTICE_MOST = 900 * MS;

    /** Work and waits are those of the first tier, in milliseconds. */
    private record Kind(RequestClass about, double share, double work, double elsewhere) {
    }

    private static final List<Kind> KINDS = List.of(
        kind("view-slots", Effect.SAFE, 600, 1500, 3, 0.5, 0.5, 16, 95),
        kind("book-visit", Effect.UNSAFE, 600, 1500, 3, 0.25, 0.27, 18, 85),
        kind("book-farm", Effect.UNSAFE, 1200, 3000, 3, 0.25, 0.13, 50, 130),
        kind("book-campaign", Effect.UNSAFE, 1200, 3000, 9, 0.2, 0.1, 58, 140));

    private static Kind kind(String name, Effect effect, int aim, int deadline, double worth, double late,
            double share, double work, double elsewhere) {
        return new Kind(new RequestClass(name, effect, KeyGroup.ALL, 5 * SECOND, aim * MS, 0, deadline * MS, worth,
            late, false), share, work, elsewhere);
    }

    /** What became of the first tries of one second. */
    static final class Second {
        int offered;
        int inTime;
        int late;
        int refused;
        int failed;
        int unreached;
        int tries;
        double worthOffered;
        double worthServed;

        double served() {
            return worthOffered == 0 ? 1 : worthServed / worthOffered;
        }

        @Override
        public String toString() {
            return String.format("offered %3d tries %3d in time %3d late %2d refused %3d failed %2d unreached %2d worth %.2f",
                offered, tries, inTime, late, refused, failed, unreached, served());
        }
    }

    final Clockwork clock = new Clockwork();
    final long start = clock.now();
    final List<Second> seconds = new ArrayList<>();
    final List<SimulatedNode> nodes = new ArrayList<>();
    private final Site site;
    private final SplittableRandom random;
    private final Map<String, SimulatedServer> servers = new LinkedHashMap<>();
    private final List<SimulatedServer> listed = new ArrayList<>();
    private final double perSecond;
    private final long end;
    private final long coldSpan;
    private int names;
    private int asked;

    /**
     * {@code load}: the part of the servers' capacity that first tries ask for; {@code queue}: how many requests wait at
     * a server beyond its slots, at the most.
     */
    record Site(int tier, int nodes, int servers, double load, int queue, int lengthS) {
    }

    Fleet(long seed, Site site) {
        random = new SplittableRandom(seed);
        this.site = site;
        int lengthS = site.lengthS;
        end = start + lengthS * SECOND;
        coldSpan = SECOND;
        for (int i = 0; i <= lengthS; i++) {
            seconds.add(new Second());
        }
        double capacity = 0;
        for (int i = 0; i < site.servers; i++) {
            double speed = speed(i);
            capacity += speed;
            listed.add(server(0, speed));
        }
        double work = KINDS.stream().mapToDouble(k -> k.share * k.work / 1000).sum();
        perSecond = site.load * capacity / work;
        for (int i = 0; i < site.nodes; i++) {
            nodes.add(new SimulatedNode(clock, servers, settings(i)));
            nodes.get(i).start(random.nextLong(), list());
        }
        nextArrival();
    }

    private double speed(int place) {
        return place % 3 == 2 ? random.nextDouble(0.85, 1.1) : random.nextDouble(1.3, 1.7);
    }

    private SimulatedServer server(long startedAt, double speed) {
        SimulatedServer s = new SimulatedServer(clock, "s" + names++, "a", startedAt, speed, random.nextInt(9, 22),
            random.nextInt(1, site.queue + 1), coldSpan, 0.85);
        servers.put(s.id, s);
        return s;
    }

    private Settings settings(int self) {
        return new Settings("a", List.of("a"), site.tier, self, site.nodes, KINDS.stream().map(Kind::about).toList(), List.of(),
            1, false, false, Weights.NONE, List.of(), 0, 2 * MS,
            new Limits(6, true, true, false, true, 1500 * MS, 150 * MS),
            new Rules(0.85, coldSpan, 3, 3 * SECOND, 2 * SECOND, 8 * MS, 10 * SECOND));
    }

    private static ServerEntry entry(SimulatedServer s, ServerState state) {
        return new ServerEntry(s.id, s.zone, 0, state, 1, s.startedAt);
    }

    private List<ServerEntry> list() {
        return listed.stream().map(s -> entry(s, ServerState.READY)).toList();
    }

    void run() {
        clock.runUntil(end + 10 * SECOND);
    }

    void at(long afterStart, Runnable what) {
        clock.after(start + afterStart - clock.now(), what);
    }

    // ---- what happens ----

    private void tell(SimulatedServer server, ServerState state) {
        for (SimulatedNode node : nodes) {
            clock.after(random.nextLong(100 * MS, NOTICE_MOST), () -> node.told(List.of(entry(server, state))));
        }
    }

    /** Replaces the servers one after another, so many of them; each is back {@code awayFor} after its drain began. */
    void release(long from, long every, long awayFor, int count) {
        for (int i = 0; i < count; i++) {
            int place = i;
            at(from + i * every, () -> {
                SimulatedServer old = listed.get(0);
                listed.remove(0);
                old.draining = true;
                tell(old, ServerState.DRAINING);
                clock.after(3 * SECOND, () -> {
                    old.gone = true;
                    tell(old, ServerState.GONE);
                });
                clock.after(awayFor, () -> {
                    SimulatedServer next = server(clock.now(), speed(place));
                    listed.add(next);
                    tell(next, ServerState.READY);
                });
            });
        }
    }

    /** So many servers stop taking anything, and come back as they were. */
    void stall(int count, long from, long span) {
        at(from, () -> listed.subList(0, count).forEach(s -> s.draining = true));
        at(from + span, () -> listed.forEach(s -> s.draining = false));
    }

    /** Ends the node and starts it anew; until then it takes nothing. */
    void restart(int node, long from, long awayFor) {
        at(from, () -> nodes.get(node).open = false);
        // What it holds has its longest deadline to be answered in.
        at(from + Math.min(awayFor, 3500 * MS), () -> nodes.get(node).stop());
        at(from + Math.max(awayFor, 3501 * MS), () -> nodes.get(node).start(random.nextLong(), list()));
    }

    void breakServer(int place, long from, long span) {
        at(from, () -> {
            SimulatedServer s = listed.get(place);
            s.broken = true;
            clock.after(span, () -> s.broken = false);
        });
    }

    // ---- clients ----

    private void nextArrival() {
        long gap = (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
        clock.after(gap, () -> {
            if (clock.now() < end) {
                arrive();
                nextArrival();
            }
        });
    }

    private void arrive() {
        double at = random.nextDouble();
        Kind kind = KINDS.get(KINDS.size() - 1);
        for (Kind k : KINDS) {
            if (at < k.share) {
                kind = k;
                break;
            }
            at -= k.share;
        }
        Second second = seconds.get((int) ((clock.now() - start) / SECOND));
        second.offered++;
        second.worthOffered += kind.about.worth();
        new Client(kind, second).ask();
    }

    private final class Client {
        final Kind kind;
        final Second second;
        final long arrivedAt = clock.now();
        final long deadline;
        final double work;
        final long elsewhere;
        final long pause;
        /** Whether it waits as long as a refusal asks for. */
        final boolean honours;
        long wait;
        int tries;
        boolean done;

        Client(Kind kind, Second second) {
            this.kind = kind;
            this.second = second;
            deadline = arrivedAt + kind.about.deadline();
            work = kind.work * MS * -Math.log(1 - random.nextDouble());
            elsewhere = (long) (kind.elsewhere * MS * (0.5 + random.nextDouble()));
            pause = random.nextInt(3) == 0 ? 0 : 100 * MS;
            wait = pause;
            honours = random.nextInt(5) == 0;
        }

        void ask() {
            tries++;
            second.tries++;
            List<SimulatedNode> up = nodes.stream().filter(n -> n.open).toList();
            if (up.isEmpty()) {
                again(true, Answered.FAILED);
                return;
            }
            SimulatedNode node = up.get(random.nextInt(up.size()));
            String id = "r" + asked++;
            boolean safe = kind.about.effect() == Effect.SAFE;
            long until = safe ? Math.min(deadline, clock.now() + (long) (TRY_SHARE * kind.about.deadline())) : deadline;
            int thisTry = tries;
            node.ask(id, kind.about, work, elsewhere, until, thisTry > 1, (how, retryAfter) -> {
                if (thisTry == tries && !done) {
                    answered(how, retryAfter);
                }
            });
            clock.after(until - clock.now(), () -> {
                if (thisTry == tries && !done) {
                    node.left(id);
                    again(false, Answered.FAILED);
                }
            });
        }

        private void answered(Answered how, long retryAfter) {
            if (how == Answered.SERVED) {
                done = true;
                boolean inTime = clock.now() - arrivedAt <= kind.about.aim();
                second.inTime += inTime ? 1 : 0;
                second.late += inTime ? 0 : 1;
                second.worthServed += kind.about.worth() * (inTime ? 1 : kind.about.lateWorth());
            } else {
                wait = honours ? Math.max(pause, retryAfter) : pause;
                again(false, how);
            }
        }

        private void again(boolean unreached, Answered how) {
            if (tries > RETRIES || clock.now() + wait >= deadline
                    || how == Answered.FAILED && !unreached && kind.about.effect() != Effect.SAFE) {
                done = true;
                second.unreached += unreached ? 1 : 0;
                second.refused += !unreached && how == Answered.REFUSED ? 1 : 0;
                second.failed += !unreached && how == Answered.FAILED ? 1 : 0;
            } else {
                clock.after(wait, this::ask);
            }
        }
    }
}

package weldhitch.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import weldhitch.decision.Balancing.*;

/**
 * All decisions of a balancer node. Its settings, events and actions are in Balancing.java.
 *
 * <p>Mechanism: the averaged Ratio approach (Kueting et al., section 3.2). A server's mean t is that of this
 * node's own last completed round trips; with t_b the lowest, f = t_b / t and p = f / sum(f); two servers are
 * drawn by p with replacement and the lower mean is sent to.
 *
 * <p>Rules, and where each is kept: one final answer in time (deadlines, {@link #finish}); no effect twice
 * ({@link #mayAttempt}, {@link #mayRefuse}); drains ({@link #draw}: only READY servers); cold servers
 * ({@link #earnCredit}). Single-threaded; time is what the caller hands over; only the seed is random.
 */
public final class RatioBalancer {
    /** Round trips a server's mean is taken over (the paper's averaged variant). */
    private static final int WINDOW = 20;
    /** Time in which an old mean loses most of its distance to t_b, and a failure count its height. */
    private static final double FADE = 10e9;
    private static final double FAILURE_FADE = 5e9;
    private static final double ERROR_STEP = 0.1;
    private static final double LEAST_CHANCE = 0.02;
    private static final double USUAL_STEP = 0.02;
    private static final double RETRY_SHARE = 0.1;
    private static final double MOST_RETRIES_SAVED = 10;
    /** How much of a warm server's served calls, scaled by its present capacity, a cold one is sent. */
    private static final double COLD_SHARE = 1.0;
    private static final int SPAN = 12;
    private static final int SHARERS = 4;
    /** How much slower a server of another zone reads, for each unit of the price of crossing. */
    private static final double CROSSING = 50;
    private static final long HOLD_STEP = 20_000_000L;

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, Failures> zones = new HashMap<>();
    private final List<Server> ready = new ArrayList<>();
    private final List<Server> around = new ArrayList<>();
    private final List<Server> cold = new ArrayList<>();
    private final Map<String, ClassUse> classes = new HashMap<>();
    private final ClassUse unknownClass;
    private final Map<String, Request> requests = new HashMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final PriorityQueue<Request> waiting = new PriorityQueue<>();
    private final Map<String, Quota> quotas = new HashMap<>();
    /** What an operator's routes allow; null where there are none. */
    private Routes routes;
    private Map<String, RouteUse> routeUses = Map.of();
    private double usualRank;
    private double usualWorth;
    private final AdmissionLimit limit = new AdmissionLimit();
    private double[] chance = new double[16];
    private double retriesSaved = MOST_RETRIES_SAVED / 2;
    private long armedFor = Long.MAX_VALUE;
    private long dueCount;
    private boolean started;
    private boolean asked;
    private boolean subscribed;
    private int refusedAsks;
    private long now;
    private List<Action> actions;

    public RatioBalancer(Settings settings, long seed) {
        this.settings = java.util.Objects.requireNonNull(settings, "settings");
        this.random = new SplittableRandom(seed);
        for (RequestClass c : settings.classes()) {
            classes.put(c.name(), new ClassUse(c));
        }
        for (Tenant tenant : settings.tenants()) {
            if (tenant.quotaPerSecond() > 0) {
                quotas.put(tenant.name(), new Quota(tenant.quotaPerSecond() / settings.siblings()));
            }
        }
        unknownClass = new ClassUse(
            new RequestClass("", Effect.UNSAFE, KeyGroup.ALL, 0, 0, 0, 0, 1, 0, false));
    }

    /** Takes one event at the caller's time and returns what to do, in order. */
    public List<Action> handle(long nowNanos, Event event) {
        now = nowNanos;
        actions = new ArrayList<>(4);
        if (!started) {
            started = true;
            planFirstSubscription();
        }
        if (event instanceof Arrival arrival) {
            onArrival(arrival);
        } else if (event instanceof AttemptEnded ended) {
            onEnded(ended);
        } else if (event instanceof Membership news) {
            onMembership(news);
        } else if (event instanceof Timer) {
            onTimer();
        } else if (event instanceof FirstByte first) {
            onFirstByte(first);
        } else if (event instanceof NewRoutes news) {
            onNewRoutes(news.routes());
        } else if (event instanceof ClientGone gone) {
            Request r = requests.get(gone.request());
            if (r != null) {
                close(r);
            }
        }
        admitWaiting();
        armTimer();
        return actions;
    }

    // ---- membership ----

    private void onMembership(Membership news) {
        if (news.kind() == ListKind.REFUSED) {
            asked = false;
            subscribed = false;
            refusedAsks = Math.min(refusedAsks + 1, 6);
            double wait = Math.min(1e9 * (1 << refusedAsks), 0.8 * settings.rules().askEvery());
            plan(now + (long) (wait * (0.5 + random.nextDouble() / 2)), null);
            return;
        }
        if (news.kind() != ListKind.REMEMBERED && asked) {
            subscribed = true;
            refusedAsks = 0;
        }
        if (news.kind() != ListKind.CHANGES) {
            Map<String, Server> before = new HashMap<>(servers);
            news.entries().forEach(e -> before.remove(e.server()));
            before.keySet().forEach(servers::remove);
        }
        news.entries().forEach(this::applyEntry);
        ready.clear();
        cold.clear();
        for (Server server : servers.values()) {
            if (server.state == ServerState.READY) {
                ready.add(server);
                if (isCold(server)) {
                    cold.add(server);
                }
            }
        }
        ready.sort(Comparator.<Server>comparingInt(s -> s.place).thenComparing(s -> s.id));
        around.clear();
        around.addAll(ready);
        limit.servers(ready.size(), ready.stream().mapToDouble(s -> s.size).sum(), settings.siblings());
        chance = chance.length < ready.size() ? new double[ready.size() * 2] : chance;
    }

    private void applyEntry(ServerEntry entry) {
        if (entry.state() == ServerState.GONE) {
            servers.remove(entry.server());
            return;
        }
        Server server = servers.get(entry.server());
        if (server == null || server.startedAt != entry.startedAt()) {
            server = new Server(entry, zones.computeIfAbsent(entry.zone(), z -> new Failures()));
            // Spread over the nodes, or all of them would send their first call in the same moment.
            server.credit = random.nextDouble();
            servers.put(entry.server(), server);
        }
        server.state = entry.state();
        server.size = entry.weight() > 0 ? entry.weight() : 1;
    }

    private void planFirstSubscription() {
        if (settings.mustAskMembership()) {
            double spread = Math.min(0.4 * settings.rules().askEvery(), 50e6 * settings.siblings());
            plan(now + (long) (random.nextDouble() * spread), null);
        }
    }

    private void subscribe() {
        if (!asked && !subscribed) {
            asked = true;
            actions.add(new Subscribe());
        }
    }

    // ---- observation ----

    private void served(Request r, Attempt attempt, long latency) {
        Server server = attempt.server;
        server.add(latency / r.use.usual(r.cost), now);
        server.failures.clear();
        server.errorShare -= ERROR_STEP * server.errorShare;
        server.zoneFailures.clear();
        r.use.learn(r.cost, latency);
        if (r.route != null) {
            r.route.answered(latency);
        }
        if (!server.isColdListed) {
            earnCredit(1.0 / Math.max(1, ready.size() - cold.size()));
        }
    }

    private void failed(Server server, Outcome outcome) {
        if (outcome == Outcome.ERROR) {
            double errors = server.errorsNow(now);
            server.errorShare = errors + ERROR_STEP * (1 - errors);
        }
        server.failures.add(now);
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.TIMED_OUT) {
            // A zone cut off fails server by server; no answer from any of it soon speaks for all of it.
            server.zoneFailures.add(now);
        }
    }

    /**
     * A server's mean for the draw: that of its window, sliding to t_b as it ages. A silent or stalled server
     * keeps its old mean, so the time since it was last heard of, with a call out, is a lower bound.
     */
    private double meanNow(Server server, double best) {
        double mean = best;
        if (server.count > 0) {
            mean = best + (server.mean() - best) * Math.exp((server.sampledAt - now) / FADE);
        }
        Attempt oldest = server.out.peekFirst();
        if (oldest != null) {
            double silence = (now - Math.max(oldest.sentAt, server.heardAt))
                / oldest.request.use.usual(oldest.request.cost);
            mean = Math.max(mean, silence) * (1 + server.out.size());
        }
        return server.zone.equals(settings.zone()) ? mean : mean * (1 + CROSSING * settings.crossZonePrice());
    }

    // ---- the draw ----

    private Server draw(Request r) {
        int first = ready.isEmpty() ? 0 : (int) ((long) settings.self() * ready.size() / settings.siblings());
        int wanted = Math.max(SPAN, SHARERS * ready.size() / settings.siblings());
        double best = Double.MAX_VALUE;
        int span = 0;
        for (int sound = 0; span < ready.size() && sound < wanted; span++) {
            Server server = ready.get((first + span) % ready.size());
            around.set(span, server);
            sound += server.chanceLeft(now) >= 0.5 && !server.isColdListed ? 1 : 0;
            best = server.count > 0 ? Math.min(best, server.mean()) : best;
        }
        best = best == Double.MAX_VALUE ? 1 : best;
        double sum = weigh(r, best, span, true);
        if (sum <= 0) {
            span = ready.size();
            for (int i = 0; i < span; i++) {
                around.set(i, ready.get((first + i) % span));
            }
            sum = weigh(r, best, span, false);
        }
        if (sum <= 0) {
            return null;
        }
        Server one = pick(sum, span);
        Server other = pick(sum, span);
        return other.drawMean < one.drawMean ? other : one;
    }

    /** Sets each ready server's weight for this request and returns their sum. */
    private double weigh(Request r, double best, int span, boolean avoidTried) {
        double sum = 0;
        for (int i = 0; i < span; i++) {
            Server server = around.get(i);
            chance[i] = 0;
            if (mayTake(r, server) && !(avoidTried && r.tried(server))) {
                server.drawMean = meanNow(server, best);
                chance[i] = best / server.drawMean * rampNow(server) * server.chanceLeft(now);
                sum += chance[i];
            }
        }
        return sum;
    }

    private Server pick(double sum, int span) {
        double at = random.nextDouble() * sum;
        Server last = null;
        for (int i = 0; i < span; i++) {
            if (chance[i] > 0) {
                last = around.get(i);
                at -= chance[i];
                if (at < 0) {
                    return last;
                }
            }
        }
        return last;
    }

    private boolean mayTake(Request r, Server server) {
        if (server.isColdListed && server.credit < 1 && isCold(server)) {
            return false;
        }
        Attempt anchor = r.anchor;
        return anchor == null || r.use.about.effect() != Effect.KEYED || switch (r.use.about.group()) {
            case ALL -> true;
            case ZONE -> server.zone.equals(anchor.server.zone);
            case CELL -> server.cell == anchor.server.cell && server.zone.equals(anchor.server.zone);
        };
    }

    // ---- cold-start limit ----

    private boolean isCold(Server server) {
        boolean coldNow = server.startedAt > 0 && now - server.startedAt < settings.rules().coldSpan();
        server.isColdListed = coldNow;
        return coldNow;
    }

    private double rampNow(Server server) {
        if (!server.isColdListed) {
            return 1;
        }
        double age = Math.max(0, (double) (now - server.startedAt) / settings.rules().coldSpan());
        double start = settings.rules().startCapacity();
        return Math.min(1, start + (1 - start) * age);
    }

    /**
     * Every call that warm servers served earns each cold one its part of a call: what a warm one of its size
     * carries, scaled to its present capacity. Summed over all nodes that stays under the rule's multiple.
     */
    private void earnCredit(double calls) {
        if (cold.isEmpty()) {
            return;
        }
        cold.removeIf(server -> !isCold(server));
        double meanSize = 0;
        for (Server server : ready) {
            meanSize += server.size / ready.size();
        }
        for (Server server : cold) {
            double earned = COLD_SHARE * calls * rampNow(server) * server.size / meanSize;
            server.credit = Math.min(2, server.credit + earned);
        }
    }

    // ---- dispatch and further attempts ----

    private void onArrival(Arrival arrival) {
        if (requests.containsKey(arrival.request())) {
            return;
        }
        ClassUse use = classes.getOrDefault(arrival.requestClass(), unknownClass);
        Request r = new Request(arrival, use, routeOf(arrival), worth(arrival, use), dueCount++, now);
        requests.put(r.id, r);
        Quota spent = r.route == null ? null : r.route.exceeded(arrival.tenant(), now);
        if (spent != null) {
            refuse(r, spent.untilNext());
            return;
        }
        if (r.route != null) {
            r.route.letIn(now);
        }
        usualRank = usualRank == 0 ? r.rank : usualRank + USUAL_STEP * (r.rank - usualRank);
        retriesSaved = Math.min(MOST_RETRIES_SAVED, retriesSaved + RETRY_SHARE);
        if (cold.size() == ready.size()) {
            earnCredit(0.7 / Math.max(1, ready.size()));
        }
        admit(r);
    }

    private void onNewRoutes(Routes next) {
        Map<String, RouteUse> before = routeUses;
        routes = next;
        routeUses = new HashMap<>();
        Map<String, RouteUse> groups = new HashMap<>();
        for (Routes.Route route : next == null ? List.<Routes.Route>of() : next.all()) {
            RouteUse shared = groups.get(route.group());
            RouteUse use = new RouteUse(route.rules(), settings.siblings(),
                shared == null ? before.get(route.name()) : shared);
            groups.putIfAbsent(route.group(), use);
            routeUses.put(route.name(), use);
        }
    }

    private RouteUse routeOf(Arrival arrival) {
        if (routes == null || arrival.target() == null) {
            return null;
        }
        Routes.Route route = routes.match(arrival.requestClass(), arrival.method(), arrival.target());
        return route == null ? null : routeUses.get(route.name());
    }

    /** Sends the request somewhere, or holds it while waiting may help, or ends it. */
    private void dispatch(Request r) {
        if (now >= lastMoment(r)) {
            finish(r);
            return;
        }
        Server server = draw(r);
        if (server == null) {
            r.wakeAt = Math.min(lastMoment(r), now + HOLD_STEP);
            plan(r.wakeAt, r);
            return;
        }
        Attempt attempt = new Attempt(r, server, r.attempts.size(), now);
        r.attempts.add(attempt);
        r.out++;
        if (r.anchor == null) {
            r.anchor = attempt;
        }
        server.out.addLast(attempt);
        if (server.isColdListed) {
            server.credit -= 1;
        }
        long patience = r.use.patience(r.cost);
        boolean copies = settings.limits().secondCopies();
        long hedge = copies && r.route != null && r.use.about.effect() == Effect.SAFE
            ? r.route.hedgeAfter(patience) : patience;
        boolean repeatable = r.use.about.effect() != Effect.UNSAFE && r.attempts.size() < maxAttempts(r)
            && hedge > 0 && now + hedge < r.deadline;
        long timeout = repeatable && !copies ? patience : 0;
        actions.add(new Send(r.id, server.id, r.route == null ? timeout : r.route.timeout(timeout, r.deadline - now)));
        if (repeatable && copies) {
            r.wakeAt = now + hedge;
            plan(r.wakeAt, r);
        }
    }

    private int maxAttempts(Request r) {
        int allowed = settings.limits().maxAttempts();
        return r.route == null ? allowed : r.route.attempts(allowed);
    }

    private void onEnded(AttemptEnded ended) {
        Request r = requests.get(ended.request());
        if (r == null || ended.attempt() < 0 || ended.attempt() >= r.attempts.size()) {
            return;
        }
        Attempt attempt = r.attempts.get(ended.attempt());
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        r.out--;
        attempt.server.out.remove(attempt);
        observe(r, attempt, ended);
        if (ended.outcome().neverRan && r.anchor == attempt) {
            r.anchor = r.firstThatMayHaveRun(attempt);
        } else if (ended.outcome().neverRan) {
            attempt.neverRan = true;
        }
        if (ended.finished() || r.done) {
            close(r);
        } else if (r.out == 0 || now >= lastMoment(r)) {
            again(r, ended.outcome());
        }
    }

    private void observe(Request r, Attempt attempt, AttemptEnded ended) {
        switch (ended.outcome()) {
            case OK -> {
                attempt.server.heardAt = now;
                if (!attempt.streaming) {
                    learnLimit(r);
                    served(r, attempt, ended.latency());
                }
            }
            case ERROR, FULL -> {
                attempt.server.heardAt = now;
                failed(attempt.server, ended.outcome());
                if (ended.outcome() == Outcome.FULL && r.admitted) {
                    limit.turnedAway();
                    if (attempt.number == 1) {
                        limit.turnedAwayAgain();
                    }
                }
            }
            case TIMED_OUT -> {
                if (attempt.server.heardAt > attempt.sentAt) {
                    // Its server answers others: it is late, not lost with a server that says nothing.
                    learnLimit(r);
                }
                failed(attempt.server, ended.outcome());
            }
            case CONNECT_FAILED, RESET -> failed(attempt.server, ended.outcome());
            case CANCELLED -> {
                // A copy was sent because this one overstayed: a time-out in all but name.
                if (attempt.overstayed) {
                    failed(attempt.server, ended.outcome());
                }
            }
            case NOT_SENT -> { }
        }
    }

    private void again(Request r, Outcome outcome) {
        boolean allowed = r.route == null || r.route.retries(outcome);
        if (r.out == 0 && allowed && mayAttempt(r) && spendRetry(r, outcome.neverRan)) {
            long own = r.route == null ? -1 : r.route.wait(r.attempts.size(), random);
            if (own >= 0 && now + own >= lastMoment(r)) {
                finish(r);
            } else if (own > 0) {
                r.wakeAt = now + own;
                plan(r.wakeAt, r);
            } else if (own == 0 || r.attempts.size() < 2) {
                dispatch(r);
            } else {
                double wait = r.use.usual(r.cost) / 4 * (1 << Math.min(r.attempts.size() - 2, 4));
                r.wakeAt = Math.min(lastMoment(r), now + (long) (wait * (0.5 + random.nextDouble())));
                plan(r.wakeAt, r);
            }
        } else {
            finish(r);
        }
    }

    private boolean mayAttempt(Request r) {
        if (r.done || r.attempts.size() >= maxAttempts(r) || now >= lastMoment(r)
                || r.out > 0 && !settings.limits().secondCopies()) {
            return false;
        }
        return switch (r.use.about.effect()) {
            case SAFE -> true;
            case UNSAFE -> r.anchor == null;
            case KEYED -> r.anchor == null
                || now + settings.tick() < r.anchor.sentAt + r.use.about.memory();
        };
    }

    private boolean mayRefuse(Request r) {
        RequestClass about = r.use.about;
        return r.anchor == null || about.effect() == Effect.SAFE
            || about.effect() == Effect.KEYED && about.group() == KeyGroup.ALL;
    }

    /** Pays for a further attempt: by the route's own budget for any, else only where the last one may have run. */
    private boolean spendRetry(Request r, boolean neverRan) {
        if (r.route != null && r.route.hasBudget()) {
            return r.route.spend(now);
        }
        if (neverRan) {
            return true;
        }
        if (retriesSaved < 1) {
            return false;
        }
        retriesSaved--;
        return true;
    }

    private void onFirstByte(FirstByte first) {
        Request r = requests.get(first.request());
        if (r == null || first.attempt() < 0 || first.attempt() >= r.attempts.size()) {
            return;
        }
        Attempt attempt = r.attempts.get(first.attempt());
        if (!attempt.ended && !attempt.streaming) {
            attempt.streaming = true;
            attempt.server.out.remove(attempt);
            attempt.server.heardAt = now;
            learnLimit(r);
            served(r, attempt, first.latency());
            close(r);
        }
    }

    // ---- admission ----

    /**
     * The first tier lets in only as many requests at once as are answered within their aim; the rest wait,
     * those worth most for their work first. Deeper tiers let all in: refusing there wastes the work above.
     */
    private void admit(Request r) {
        if (settings.tier() > 0 || hasRoom(r) && (waiting.isEmpty() || r.compareTo(waiting.peek()) < 0)) {
            r.admitted = true;
            limit.enter();
            dispatch(r);
            return;
        }
        r.waits = true;
        waiting.add(r);
        long usual = (long) r.use.usual(r.cost);
        long aim = r.use.about.aim() > 0 ? r.use.about.aim() : Long.MAX_VALUE / 2;
        // A refusal leaves the client time for another node, so it comes soon rather than at the last moment.
        long last = Math.min(Math.min(lastMoment(r), now + aim) - 2 * usual, now + usual / 2);
        r.wakeAt = Math.max(now + settings.tick(), last);
        plan(r.wakeAt, r);
    }

    private void learnLimit(Request r) {
        if (r.admitted && r.use.about.aim() > 0) {
            limit.answered(now - r.arrivedAt, r.use.about.aim());
        }
    }

    private boolean hasRoom(Request r) {
        return limit.hasRoom(r.rank >= usualRank);
    }

    private void admitWaiting() {
        while (!waiting.isEmpty() && hasRoom(waiting.peek())) {
            Request r = waiting.poll();
            r.waits = false;
            r.admitted = true;
            limit.enter();
            dispatch(r);
        }
    }

    private double worth(Arrival arrival, ClassUse use) {
        double work = settings.worthByWork() && arrival.cost() > 0 ? arrival.cost() : 1;
        double worth = use.about.worth() * work;
        Quota quota = quotas.get(String.valueOf(arrival.tenant()));
        if (quota != null && !quota.take(now)) {
            worth *= settings.overShareWorth();
        }
        usualWorth = usualWorth == 0 ? worth : usualWorth + USUAL_STEP * (worth - usualWorth);
        return worth;
    }

    // ---- deadlines ----

    private long lastMoment(Request r) {
        return r.deadline - settings.tick();
    }

    /** The one final answer that the node itself gives. */
    private void finish(Request r) {
        if (!r.done) {
            if (mayRefuse(r)) {
                refuse(r, r.waits ? (long) r.use.usual(r.cost) / 2 : 0);
            } else {
                actions.add(new Fail(r.id, r.shortened && now >= lastMoment(r)));
                close(r);
            }
        }
    }

    private void refuse(Request r, long away) {
        Limits limits = settings.limits();
        long advice = r.route == null ? away : r.route.retryAfter(away);
        actions.add(new Refuse(r.id, limits.retryAfter() ? Math.min(limits.maxRetryAfter(), advice) : 0));
        close(r);
    }

    /** Nothing more goes out for the request; attempts still out are only waited for. */
    private void close(Request r) {
        if (!r.done) {
            r.done = true;
            if (r.admitted) {
                limit.leave();
            } else if (r.waits) {
                waiting.remove(r);
            }
            for (Attempt attempt : r.attempts) {
                if (!attempt.ended && !attempt.streaming && settings.limits().cancel()) {
                    actions.add(new Cancel(r.id, attempt.number));
                }
            }
        }
        if (r.out == 0) {
            requests.remove(r.id);
        }
    }

    private void onTimer() {
        if (now >= armedFor) {
            armedFor = Long.MAX_VALUE;
        }
        while (!due.isEmpty() && due.peek().at <= now) {
            Due next = due.poll();
            if (next.request == null) {
                subscribe();
            } else if (!next.request.done && next.request.wakeAt == next.at) {
                wake(next.request);
            }
        }
    }

    private void wake(Request r) {
        if (r.waits) {
            finish(r);
        } else if (r.out == 0 && (r.attempts.isEmpty() || mayAttempt(r))) {
            dispatch(r);
        } else if (r.out == 0) {
            // While it waited, the servers' memory of its key may have run out.
            finish(r);
        } else {
            Attempt last = r.attempts.get(r.attempts.size() - 1);
            // A route may want its copy long before its server has overstayed.
            last.overstayed = r.route == null || now - last.sentAt >= r.use.patience(r.cost);
            if (mayAttempt(r) && spendRetry(r, false)) {
                dispatch(r);
            }
        }
    }

    private void plan(long at, Request r) {
        due.add(new Due(at, dueCount++, r));
    }

    private void armTimer() {
        if (!due.isEmpty() && due.peek().at < armedFor) {
            armedFor = due.peek().at;
            actions.add(new SetTimer(Math.max(0, armedFor - now), "due"));
        }
    }

    private record Due(long at, long number, Request request) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private static final class Server {
        final String id;
        final int place;
        final String zone;
        final long cell;
        final long startedAt;
        final ArrayDeque<Attempt> out = new ArrayDeque<>();
        final double[] window = new double[WINDOW];
        ServerState state;
        double size;
        double credit;
        final Failures failures = new Failures();
        final Failures zoneFailures;
        double errorShare;
        double drawMean;
        double sum;
        int count;
        int next;
        boolean isColdListed;
        long sampledAt;
        long heardAt;

        Server(ServerEntry entry, Failures zoneFailures) {
            this.zoneFailures = zoneFailures;
            id = entry.server();
            place = id.hashCode() * 0x9E3779B1 >>> 1;
            zone = String.valueOf(entry.zone());
            cell = entry.cell();
            startedAt = entry.startedAt();
        }

        void add(double roundTrip, long now) {
            sum += roundTrip - (count == WINDOW ? window[next] : 0);
            window[next] = roundTrip;
            next = (next + 1) % WINDOW;
            count = Math.min(WINDOW, count + 1);
            sampledAt = now;
        }

        double errorsNow(long now) {
            return errorShare == 0 ? 0 : errorShare * Math.exp((failures.at - now) / FADE);
        }

        double chanceLeft(long now) {
            double served = Math.pow(1 - errorsNow(now), 3);
            return failures.factor(now) * zoneFailures.factor(now) * Math.max(LEAST_CHANCE, served);
        }

        double mean() {
            return Math.max(1e-6, sum / count);
        }
    }

    /** Failures since the last served call, fading with time. */
    private static final class Failures {
        double count;
        long at;

        void add(long now) {
            count = countNow(now) + 1;
            at = now;
        }

        void clear() {
            count = 0;
        }

        double countNow(long now) {
            return count == 0 ? 0 : count * Math.exp((at - now) / FAILURE_FADE);
        }

        /** What they leave of a chance: less with each, never nothing. */
        double factor(long now) {
            double failures = countNow(now);
            return Math.max(LEAST_CHANCE, 1 / (1 + failures * failures));
        }
    }

    private static final class Attempt {
        final Request request;
        final Server server;
        final int number;
        final long sentAt;
        boolean ended;
        boolean neverRan;
        boolean overstayed;
        boolean streaming;

        Attempt(Request request, Server server, int number, long sentAt) {
            this.request = request;
            this.server = server;
            this.number = number;
            this.sentAt = sentAt;
        }
    }

    private static final class Request implements Comparable<Request> {
        final String id;
        final double worth;
        final double rank;
        final long number;
        final ClassUse use;
        final RouteUse route;
        /** Whether its route has shortened its deadline. */
        final boolean shortened;
        final long arrivedAt;
        final long deadline;
        final double cost;
        final List<Attempt> attempts = new ArrayList<>(2);
        /** The first attempt that ran or might have; null while it is certain that none did. */
        Attempt anchor;
        int out;
        boolean done;
        boolean waits;
        boolean admitted;
        long wakeAt;

        Request(Arrival arrival, ClassUse use, RouteUse route, double worth, long number, long arrivedAt) {
            this.arrivedAt = arrivedAt;
            this.worth = worth;
            this.rank = worth / use.usual(arrival.cost());
            this.number = number;
            this.id = arrival.request();
            this.use = use;
            this.route = route;
            this.deadline = route == null ? arrival.deadline() : route.deadline(arrivedAt, arrival.deadline());
            this.shortened = deadline < arrival.deadline();
            this.cost = arrival.cost();
        }

        @Override
        public int compareTo(Request other) {
            return rank != other.rank ? Double.compare(other.rank, rank) : Long.compare(number, other.number);
        }

        boolean tried(Server server) {
            for (Attempt attempt : attempts) {
                if (attempt.server == server) {
                    return true;
                }
            }
            return false;
        }

        Attempt firstThatMayHaveRun(Attempt cleared) {
            cleared.neverRan = true;
            for (Attempt attempt : attempts) {
                if (!attempt.neverRan) {
                    return attempt;
                }
            }
            return null;
        }
    }

    /**
     * A class's usual round trip, by the cost hint where there is one. Round trips are divided by it, so that
     * a server is not judged by what it happened to get (the paper's remedy for mixed requests, section 6).
     */
    private static final class ClassUse {
        final RequestClass about;
        double trip;
        double deviation;
        double cost;
        double costVariance;
        double covariance;
        int seen;

        ClassUse(RequestClass about) {
            this.about = about;
        }

        void learn(double hint, double latency) {
            double step = Math.max(USUAL_STEP, 1.0 / ++seen);
            deviation += step * (Math.abs(latency - usual(hint)) - deviation);
            double offCost = hint - cost;
            double offTrip = latency - trip;
            cost += step * offCost;
            trip += step * offTrip;
            costVariance += step * (offCost * offCost - costVariance);
            covariance += step * (offCost * offTrip - covariance);
        }

        double usual(double hint) {
            if (seen == 0) {
                return about.aim() > 0 ? about.aim() / 4.0 : 1e8;
            }
            double slope = costVariance > 1e-12 ? covariance / costVariance : 0;
            // Answers that came in the instant of their sending must not make it nothing: means are divided by it.
            return Math.max(1, Math.max(trip / 5, trip + Math.max(0, slope) * (hint - cost)));
        }

        /** How long an attempt may take before a further one is worth its work. */
        long patience(double hint) {
            return (long) (usual(hint) + 4 * deviation);
        }
    }
}

package weldhitch.client.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * All decisions of a client: which node a try goes to and when, whether there is another, what the caller is told.
 *
 * <p>The rules it keeps: an unsafe call is tried again only where every try before is known not to have run; a keyed one
 * only while servers remember its key; no try starts that can't end in time; what is given up is told at once; a node that
 * asks for quiet is left in peace by all calls; nodes that were lost are returned to at times that differ from client to
 * client. Single-threaded; time (nanoseconds, any origin) is what the caller hands over; only the seed is random.
 */
public final class ClientCore {
    /** Something the client is told. */
    public sealed interface Event permits Started, Ended, CalledOff, Due, Lost, Nodes {
    }

    /** A call begins; {@code deadline} is a time. */
    public record Started(long call, String requestClass, Effect effect, long deadline) implements Event {
    }

    /** A try has ended; {@code retryAfter}: nanoseconds that a refusal asks for, 0 for none. Of a try given up nothing is told. */
    public record Ended(long call, int attempt, Outcome outcome, long retryAfter) implements Event {
    }

    public record CalledOff(long call) implements Event {
    }

    /** A moment asked for by {@link Wake} has come. */
    public record Due() implements Event {
    }

    /** The last connection to a node has gone without a word of farewell, with no call on it. */
    public record Lost(String node) implements Event {
    }

    /** From here on these are the nodes. */
    public record Nodes(List<String> addresses) implements Event {
    }

    /** Something the client shall do, in the order returned. */
    public sealed interface Action permits Try, GiveUp, Finish, Wake {
    }

    /** Send it there; tries of a call count from 0. {@code left}: nanoseconds until its deadline. */
    public record Try(long call, int attempt, String node, long left) implements Action {
    }

    /** Nobody waits for this try any more. */
    public record GiveUp(long call, int attempt) implements Action {
    }

    /** The one end of a call; {@code retryAfter}: nanoseconds after which asking again may help, 0 for no advice. */
    public record Finish(long call, Verdict verdict, int tries, long retryAfter) implements Action {
    }

    /** Tell of {@link Due} at this time; an earlier one takes the place of a later one. */
    public record Wake(long at) implements Action {
    }

    /** A refusal that asks for more than this is not believed to the letter: an hour. */
    private static final long LONGEST_QUIET = 3600 * ClientRules.SECOND;

    /** How long a node may take before its silence speaks, while nothing is known of it. */
    private static final long PATIENCE = ClientRules.SECOND;

    private final ClientRules rules;
    private final long client;
    private final UniformRandomProvider random;
    private final Spread spread;
    private final RetryBudget budget;
    private final Map<String, NodeState> nodes = new LinkedHashMap<>();
    private final Map<Long, Call> calls = new LinkedHashMap<>();
    private final Map<String, Latency> latencies = new LinkedHashMap<>();
    private long wakeAt = Long.MAX_VALUE;
    private long now;
    private List<Action> actions;

    /** @param seed of this client alone: two with one seed would return at the same moments */
    public ClientCore(ClientRules rules, List<String> addresses, long seed) {
        this.rules = rules;
        client = seed;
        random = new SplitMix64(seed);
        spread = new Spread(rules.spread(), rules.longestSpread());
        budget = new RetryBudget(rules.budgetShare(), rules.budgetFloor());
        take(addresses);
    }

    /** Takes one event at the caller's time, never earlier than the last, and returns what to do, in order. */
    public List<Action> handle(long at, Event event) {
        now = Math.max(now == 0 ? at : now, at);
        actions = new ArrayList<>(2);
        if (event instanceof Started e) {
            start(e);
        } else if (event instanceof Ended e) {
            ended(e);
        } else if (event instanceof CalledOff e) {
            Call call = calls.get(e.call());
            if (call != null) {
                finish(call, Verdict.CANCELLED, 0);
            }
        } else if (event instanceof Lost e) {
            NodeState node = nodes.get(e.node());
            if (node != null && node.standing == NodeState.Standing.UP && node.out == 0) {
                setAside(node);
            }
        } else if (event instanceof Nodes e) {
            take(e.addresses());
        } else {
            wakeAt = Long.MAX_VALUE;
        }
        goOn();
        return actions;
    }

    private void take(List<String> addresses) {
        List<String> mine = Subset.of(addresses, rules.subset(), client);
        nodes.keySet().retainAll(mine);
        mine.forEach(address -> nodes.computeIfAbsent(address, NodeState::new));
    }

    // ---- calls ----

    private void start(Started e) {
        if (calls.containsKey(e.call())) {
            return;
        }
        Call call = new Call(e.call(), e.requestClass(), e.effect(), e.deadline());
        calls.put(call.id, call);
        budget.call(now);
        call.paid = true;
        attempt(call);
    }

    /** Looks at all that wait: for their moment, for room, or for their deadline. */
    private void goOn() {
        long next = Long.MAX_VALUE;
        for (Call call : List.copyOf(calls.values())) {
            if (now >= call.deadline) {
                late(call);
            } else if (call.at == null && call.wakeAt <= now) {
                attempt(call);
            }
            if (calls.containsKey(call.id)) {
                next = Math.min(next, call.at == null && call.wakeAt > now ? Math.min(call.wakeAt, call.deadline) : call.deadline);
            }
        }
        if (next < wakeAt) {
            wakeAt = next;
            actions.add(new Wake(next));
        }
    }

    private void late(Call call) {
        if (call.at != null) {
            // Its node said nothing in time, which counts against it; but a probe that its call's own deadline cuts short tells
            // nothing, and waiting on for another window would keep the client away from a node that is there.
            Latency latency = latencies.get(call.requestClass);
            if (call.at.standing != NodeState.Standing.PROBED || now - call.sentAt >= (latency == null ? PATIENCE : latency.patience())) {
                failed(call.at);
            }
            mayHaveRun(call);
        }
        finish(call, call.mayHaveRun ? unanswered(call) : call.last == Outcome.REFUSED ? Verdict.REFUSED : Verdict.TOO_LATE, 0);
    }

    private Verdict unanswered(Call call) {
        return call.effect == Effect.SAFE ? Verdict.FAILED : Verdict.OUTCOME_UNKNOWN;
    }

    private void mayHaveRun(Call call) {
        if (!call.mayHaveRun) {
            call.mayHaveRun = true;
            call.mayHaveRunSince = call.sentAt;
        }
    }

    /** Sends the call somewhere, or lets it wait where that may help, or ends it. */
    private void attempt(Call call) {
        if (nodes.isEmpty()) {
            finish(call, call.mayHaveRun ? unanswered(call) : Verdict.UNREACHABLE, 0);
            return;
        }
        NodeState node = choose(call);
        if (node == null) {
            long free = nodes.values().stream().mapToLong(NodeState::freeAt).min().orElse(Long.MAX_VALUE);
            if (free < Long.MAX_VALUE && free > now && !fits(call, free)) {
                giveUp(call, free - now);
                return;
            }
            // For the moment at which one is free, or, where a probe is out or one has no room, for what comes of it.
            call.wakeAt = free < Long.MAX_VALUE && free > now ? free : 0;
            return;
        }
        if (!fits(call, now)) {
            giveUp(call, 0);
            return;
        }
        Throttle throttle = node.throttles.computeIfAbsent(call.requestClass, c -> new Throttle(rules.accepts()));
        if (random.nextDouble() < throttle.chance(now) && node.standing == NodeState.Standing.UP) {
            throttle.turnedAway(now);
            finish(call, call.mayHaveRun ? unanswered(call) : Verdict.THROTTLED, rules.firstWait());
            return;
        }
        call.at = node;
        call.sentAt = now;
        node.sent();
        actions.add(new Try(call.id, call.tries++, node.address, call.deadline - now));
    }

    private boolean fits(Call call, long at) {
        Latency latency = latencies.get(call.requestClass);
        return at + (latency == null ? 0 : latency.least()) < call.deadline;
    }

    private void giveUp(Call call, long retryAfter) {
        Verdict verdict = call.mayHaveRun ? unanswered(call) : call.last == Outcome.REFUSED ? Verdict.REFUSED
            : nodes.values().stream().allMatch(n -> n.standing != NodeState.Standing.UP) ? Verdict.UNREACHABLE
            : call.last == null && nodes.values().stream().anyMatch(n -> n.quietUntil > now) ? Verdict.REFUSED
            : Verdict.TOO_LATE;
        finish(call, verdict, retryAfter);
    }

    /** Of two drawn among those that may be tried now, the one with fewer calls out; null where none may. Not where it failed last, if there are others. */
    private NodeState choose(Call call) {
        List<NodeState> free = new ArrayList<>(nodes.size());
        for (NodeState node : nodes.values()) {
            if (node.freeAt() <= now && node.hasRoom()) {
                free.add(node);
            }
        }
        if (free.isEmpty()) {
            return null;
        }
        if (free.size() > 1) {
            free.remove(call.before);
        }
        NodeState one = free.get(random.nextInt(free.size()));
        NodeState other = free.get(random.nextInt(free.size()));
        return other.out < one.out ? other : one;
    }

    // ---- ends of tries ----

    private void ended(Ended e) {
        Call call = calls.get(e.call());
        if (call == null || call.at == null || e.attempt() != call.tries - 1) {
            return;
        }
        NodeState node = call.at;
        call.at = null;
        call.before = node;
        node.out--;
        call.last = e.outcome();
        switch (e.outcome()) {
            case ANSWERED -> {
                node.alive();
                node.served();
                accepted(node, call);
                latencies.computeIfAbsent(call.requestClass, c -> new Latency()).answered(now - call.sentAt);
                finish(call, Verdict.SERVED, 0);
                return;
            }
            case REFUSED -> {
                node.alive();
                node.throttles.get(call.requestClass).turnedAway(now);
                if (e.retryAfter() > 0) {
                    node.quiet(now + Math.min(LONGEST_QUIET, e.retryAfter()));
                }
            }
            case FAILED -> {
                node.alive();
                accepted(node, call);
            }
            case LOST -> {
                // An idle connection that had gone says little of its node, unless it was the probe's.
                if (node.standing == NodeState.Standing.PROBED) {
                    failed(node);
                }
            }
            case NOT_SENT, BROKEN -> failed(node);
        }
        if (!e.outcome().neverRan) {
            mayHaveRun(call);
        }
        again(call, e.retryAfter());
    }

    private void accepted(NodeState node, Call call) {
        node.throttles.get(call.requestClass).accept(now);
    }

    private void failed(NodeState node) {
        if (node.failed(rules.openAfter())) {
            setAside(node);
        }
    }

    private void setAside(NodeState node) {
        long outage = node.standing == NodeState.Standing.UP ? 0 : now - node.downSince;
        node.setAside(now, now + spread.next(outage, random));
    }

    private void again(Call call, long asked) {
        if (!mayRepeat(call) || call.tries >= rules.tries()) {
            end(call, asked);
            return;
        }
        // A connection that had gone while idle says nothing of load: the first such try is no repeat to be paid for.
        boolean free = (call.last == Outcome.LOST || call.last == Outcome.NOT_SENT) && !call.sentAgain;
        if (!free && !budget.take(now)) {
            end(call, asked);
            return;
        }
        call.sentAgain |= free;
        call.wait = free ? 0 : (long) Math.min(rules.longestWait(),
            rules.firstWait() + random.nextDouble() * (Math.max(rules.firstWait(), 3 * call.wait) - rules.firstWait()));
        // What a node asks for is the least, and the client's own wait comes on top.
        long at = now + Math.min(LONGEST_QUIET, Math.max(0, asked)) + call.wait;
        if (nodes.size() > 1 && asked > 0) {
            // Others have not asked for quiet.
            at = now + call.wait;
        }
        if (!fits(call, at)) {
            end(call, asked);
            return;
        }
        call.wakeAt = at;
    }

    private boolean mayRepeat(Call call) {
        return !call.mayHaveRun || call.effect == Effect.SAFE
            || call.effect == Effect.KEYED && now - call.mayHaveRunSince < rules.keyMemory();
    }

    private void end(Call call, long asked) {
        Verdict verdict = call.mayHaveRun ? unanswered(call) : call.last == Outcome.REFUSED ? Verdict.REFUSED : Verdict.UNREACHABLE;
        finish(call, verdict, verdict == Verdict.REFUSED ? Math.min(LONGEST_QUIET, Math.max(0, asked)) : 0);
    }

    private void finish(Call call, Verdict verdict, long retryAfter) {
        calls.remove(call.id);
        if (call.at != null) {
            call.at.out--;
            if (call.at.standing == NodeState.Standing.PROBED) {
                // What its probe would have shown nobody hears now; the next call is another.
                call.at.setAside(now, now);
            }
            actions.add(new GiveUp(call.id, call.tries - 1));
            call.at = null;
        }
        actions.add(new Finish(call.id, verdict, call.tries, retryAfter));
    }

    /** Calls without a verdict. */
    public int open() {
        return calls.size();
    }

    /** Nodes that this client uses, in the order of its preference. */
    public List<String> nodes() {
        return List.copyOf(nodes.keySet());
    }
}

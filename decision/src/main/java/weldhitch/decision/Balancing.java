package weldhitch.decision;

import java.util.List;
import java.util.Objects;

/**
 * What {@link RatioBalancer} exchanges with the world: the settings it starts with, the events it is told
 * and the actions it returns. Times are nanoseconds of the caller's own monotonic clock; spans are
 * nanoseconds; a time or span of 0 means "none" where the field says so.
 */
public final class Balancing {

    private Balancing() {
    }

    /** What repeating a request may do. */
    public enum Effect {
        /** May run any number of times. */
        SAFE,
        /** Carries a key: one group of servers discards repeats for a while. */
        KEYED,
        UNSAFE
    }

    /** The servers that discard each other's repeats of a keyed request. */
    public enum KeyGroup { ALL, ZONE, CELL }

    /** How one attempt ended. */
    public enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMED_OUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), NOT_SENT(true);

        /** Whether this outcome proves that the request never ran at the server. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** A server's state in the membership list. */
    public enum ServerState { READY, DRAINING, GONE }

    /** What a membership event carries: changed entries, a whole list, the last list held, or nothing. */
    public enum ListKind { CHANGES, ALL, REMEMBERED, REFUSED }

    /** What a server's weight in the membership list means. */
    public enum Weights { NONE, NOMINAL, ROUGH, LIVE }

    /** Values a load report may hold. */
    public enum LoadField { IN_FLIGHT, QUEUE, UTILIZATION, LATENCY_MS, PER_SECOND, ERRORS_PER_SECOND, OTHER }

    /** A class of requests. */
    public record RequestClass(String name, Effect effect, KeyGroup group, long memory, long aim,
            double aimStretch, long deadline, double worth, double lateWorth, boolean streamed) {
        public RequestClass {
            Objects.requireNonNull(name, "classes.name");
            Objects.requireNonNull(effect, "classes.effect");
            Objects.requireNonNull(group, "classes.group");
            require(memory >= 0, "classes.memory", memory, "0 or more");
            require(aim >= 0, "classes.aim", aim, "0 or more");
            require(deadline >= 0, "classes.deadline", deadline, "0 or more");
            require(worth >= 0, "classes.worth", worth, "0 or more");
        }
    }

    /** A tenant and the requests a second that all nodes together owe it; 0 is no quota. */
    public record Tenant(String name, double quotaPerSecond) {
        public Tenant {
            Objects.requireNonNull(name, "tenants.name");
            require(quotaPerSecond >= 0, "tenants.quotaPerSecond", quotaPerSecond, "0 or more");
        }
    }

    /** What the site permits. */
    public record Limits(int maxAttempts, boolean secondCopies, boolean cancel, boolean probes,
            boolean retryAfter, long maxRetryAfter, long connectTimeout) {
        public Limits {
            require(maxAttempts >= 1, "limits.maxAttempts", maxAttempts, "1 or more");
            require(maxRetryAfter >= 0, "limits.maxRetryAfter", maxRetryAfter, "0 or more");
            require(connectTimeout >= 0, "limits.connectTimeout", connectTimeout, "0 or more");
        }
    }

    /** The figures of the cold-start and membership rules. */
    public record Rules(double startCapacity, long coldSpan, double fallMultiple, long fallSpan,
            long drainGrace, long answerSlack, long askEvery) {
        public Rules {
            require(startCapacity >= 0 && startCapacity <= 1, "rules.startCapacity", startCapacity, "0 to 1");
            require(coldSpan >= 0, "rules.coldSpan", coldSpan, "0 or more");
            require(fallMultiple >= 0, "rules.fallMultiple", fallMultiple, "0 or more");
            require(fallSpan >= 0, "rules.fallSpan", fallSpan, "0 or more");
            require(drainGrace >= 0, "rules.drainGrace", drainGrace, "0 or more");
            require(answerSlack >= 0, "rules.answerSlack", answerSlack, "0 or more");
            require(askEvery >= 0, "rules.askEvery", askEvery, "0 or more");
        }
    }

    /** What this node is told at its start: it is number {@code self} of {@code siblings}. {@code tick} is the shortest time between two events' clocks. */
    public record Settings(String zone, List<String> zones, int tier, int self, int siblings,
            List<RequestClass> classes, List<Tenant> tenants, double overShareWorth, boolean worthByWork,
            boolean mustAskMembership, Weights weights, List<LoadField> loadFields, double crossZonePrice,
            long tick, Limits limits, Rules rules) {
        public Settings {
            zones = List.copyOf(zones);
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            loadFields = List.copyOf(loadFields);
            Objects.requireNonNull(limits, "limits");
            Objects.requireNonNull(rules, "rules");
            Objects.requireNonNull(weights, "weights");
            require(zones.size() < 2 || (zone != null && !zone.isEmpty()), "zone", zone, "the zone of this node, as there are several");
            require(tier >= 0, "tier", tier, "0 or more");
            require(siblings >= 1, "siblings", siblings, "1 or more");
            require(self >= 0, "self", self, "0 or more");
            require(!classes.isEmpty(), "classes", "none", "one class or more");
            require(overShareWorth >= 0, "overShareWorth", overShareWorth, "0 or more");
            require(crossZonePrice >= 0, "crossZonePrice", crossZonePrice, "0 or more");
            require(tick >= 0, "tick", tick, "0 or more");
        }
    }

    /** One line of a membership list; {@code startedAt} 0 means long ago. */
    public record ServerEntry(String server, String zone, long cell, ServerState state, double weight,
            long startedAt) {
    }

    /** Something the node is told. */
    public sealed interface Event permits Membership, Arrival, FirstByte, AttemptEnded, ClientGone, Timer,
            Probed, NewRoutes, Zoned {
    }

    /**
     * From here on requests that arrive go by these routes; none where null. Those under way keep their rules.
     *
     * @param made the same routes made ready ahead by {@link RouteUses#then}, or null; it changes nothing but the cost
     */
    public record NewRoutes(Routes routes, RouteUses made) implements Event {
        public NewRoutes(Routes routes) {
            this(routes, null);
        }
    }

    /** News of the server list. */
    public record Membership(ListKind kind, List<ServerEntry> entries) implements Event {
    }

    /**
     * A request landed here; {@code cost} is a hint of its work in seconds, 0 for none. Method and target are what
     * routes go by, null where there are none; {@code zones} are those whose servers it may go to, null for any, empty
     * for none, so that it is refused.
     */
    public record Arrival(String request, String requestClass, long deadline, String tenant, double cost,
            boolean clientRetry, String method, String target, List<String> zones) implements Event {
        public Arrival {
            zones = zones == null ? null : List.copyOf(zones);
        }

        public Arrival(String request, String requestClass, long deadline, String tenant, double cost,
                boolean clientRetry, String method, String target) {
            this(request, requestClass, deadline, tenant, cost, clientRetry, method, target, null);
        }

        public Arrival(String request, String requestClass, long deadline, String tenant, double cost,
                boolean clientRetry) {
            this(request, requestClass, deadline, tenant, cost, clientRetry, null, null);
        }
    }

    /** From here on the request's attempts go to servers of these zones; empty: to none, so that it ends. */
    public record Zoned(String request, List<String> zones) implements Event {
        public Zoned {
            zones = List.copyOf(zones);
        }
    }

    /** The answer of a streamed request has started. */
    public record FirstByte(String request, int attempt, String server, long latency) implements Event {
    }

    /** An attempt has ended; {@code finished} says that the request has its final answer. */
    public record AttemptEnded(String request, int attempt, String server, Outcome outcome, long latency,
            boolean finished, double[] load) implements Event {
    }

    /** The client left, or its request is over for another reason. */
    public record ClientGone(String request) implements Event {
    }

    /** A timer that a {@link SetTimer} asked for has come due. */
    public record Timer(String token) implements Event {
    }

    /** A probe was answered, or was not. */
    public record Probed(String server, Outcome outcome, long latency, double[] load) implements Event {
    }

    /** Something the node shall do, in the order returned. */
    public sealed interface Action permits Send, Cancel, Refuse, Fail, SetTimer, Subscribe, Report, AskZones {
    }

    /** Start an attempt; attempts of a request count from 0. A time-out of 0 runs to the deadline. */
    public record Send(String request, String server, long timeout) implements Action {
    }

    /** Stop waiting for an attempt. */
    public record Cancel(String request, int attempt) implements Action {
    }

    /** Final answer: not run, a retry does no harm; {@code retryAfter} 0 is no advice. */
    public record Refuse(String request, long retryAfter) implements Action {
    }

    /** Final answer: failed, with no word on its effect; {@code late}: by a deadline that a route has shortened. */
    public record Fail(String request, boolean late) implements Action {
        public Fail(String request) {
            this(request, false);
        }
    }

    /** Ask for a {@link Timer} after this span. */
    public record SetTimer(long after, String token) implements Action {
    }

    /** Ask discovery for changes from now on. */
    public record Subscribe() implements Action {
    }

    /**
     * No server of the request's zones is left that its next attempt has not tried: asks for a {@link Zoned}. Without one
     * the request waits and asks again.
     */
    public record AskZones(String request) implements Action {
    }

    /** A line for the people on call. */
    public record Report(String text) implements Action {
    }

    /** Where a server stands in the order in which nodes look at the list: 0 to 2^31 - 1, by its name alone. */
    public static int place(String server) {
        return server.hashCode() * 0x9E3779B1 >>> 1;
    }

    private static void require(boolean sound, String setting, Object found, String expected) {
        if (!sound) {
            throw new IllegalArgumentException("setting out of range: " + setting + ": found " + found + ", expected " + expected);
        }
    }
}

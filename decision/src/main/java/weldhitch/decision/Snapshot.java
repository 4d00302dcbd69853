package weldhitch.decision;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import weldhitch.decision.Balancing.ServerState;
import weldhitch.decision.RouteRules.Budget;
import weldhitch.decision.RouteRules.HedgePercentile;

/**
 * All that a {@link RatioBalancer} knows between two events, as plain data. Each part says what it can't be: one that
 * holds an impossible figure can't be made, and the complaint names the field. Times are nanoseconds of the node's own
 * clock. Places in a list stand for what is shared; -1 for none.
 *
 * <p>Not here, as they are made anew to the same bits: the ready servers in their order (by the list), the requests
 * that wait (by their marks), and what a draw writes before it reads it.
 *
 * @param version of this form, {@link #VERSION}
 * @param random the state of the random numbers
 * @param servers those of the list in its order, and behind them those that only attempts still know
 * @param cold ready servers that were cold at the last look, in their order
 * @param carried calls a nanosecond that a warm server serves this node, 0 where none is known
 * @param classes those of the settings in their order, and behind them the one for unknown names
 * @param routes null where there are none
 * @param routesInForce for each of {@code routes}, its place in {@code routeUses}
 * @param requests in the order of their arrival
 * @param quotas the settings' tenants with one, in their order
 */
public record Snapshot(int version, byte[] random, List<OfZone> zones, List<OfServer> servers, List<Integer> cold,
        double carried, long carriedAt, List<OfClass> classes, List<Routes.Route> routes, List<Integer> routesInForce, List<OfBudget> budgets,
        List<OfQuota> routeQuotas, List<OfLatencies> latencies, List<OfRouteUse> routeUses, List<OfRequest> requests,
        List<OfTimer> timers, long armedFor, long numbers, OfAdmission admission, List<OfQuota> quotas, double usualRank,
        double retriesSaved, boolean started, boolean asked, boolean subscribed, int refusedAsks) {
    /** The form that this build writes and reads. */
    public static final int VERSION = 4;

    public Snapshot {
        check(version == VERSION, "version", version, "one of " + VERSION);
        check(random != null && random.length > 0 && random.length <= 64, "random", random, "1 to 64 bytes");
        zones = copy("zones", zones);
        servers = copy("servers", servers);
        cold = copy("cold", cold);
        classes = copy("classes", classes);
        routes = routes == null ? null : List.copyOf(routes);
        routesInForce = copy("routesInForce", routesInForce);
        budgets = copy("budgets", budgets);
        routeQuotas = copy("routeQuotas", routeQuotas);
        latencies = copy("latencies", latencies);
        routeUses = copy("routeUses", routeUses);
        requests = copy("requests", requests);
        timers = copy("timers", timers);
        quotas = copy("quotas", quotas);
        check(admission != null, "admission", null, "the admission limit");
        check(numbers >= 0, "numbers", numbers, "0 or more");
        finite("carried", carried, 0);
        finite("usualRank", usualRank, 0);
        finite("retriesSaved", retriesSaved, 0);
        check(retriesSaved <= BalancerState.MOST_RETRIES_SAVED, "retriesSaved", retriesSaved, "10 at most");
        check(refusedAsks >= 0 && refusedAsks <= 6, "refusedAsks", refusedAsks, "0 to 6");
    }

    /** Failures of a zone as a whole. */
    public record OfZone(String name, double failures, long failedAt) {
        public OfZone {
            check(name != null, "zone.name", null, "a name");
            finite("zone.failures", failures, 0);
        }
    }

    /** {@code window}: the last round trips, as multiples of usual ones, with {@code next} the place of the next. */
    public record OfServer(String id, int zone, long cell, ServerState state, double size, long startedAt, boolean listed,
            double credit, boolean coldListed, double failures, long failedAt, double errorShare, double[] window,
            double sum, int count, int next, long sampledAt, long heardAt, List<OfSent> out) {
        public OfServer {
            check(id != null, "server.id", null, "a name");
            // A fleet has thousands: no complaint is put together before there is one.
            part(state != null, id, "state", 0, "READY, DRAINING or GONE, not nothing");
            part(size > 0 && Double.isFinite(size), id, "size", size, "more than 0");
            part(Double.isFinite(credit) && credit <= 2, id, "credit", credit, "2 at most");
            part(failures >= 0 && Double.isFinite(failures), id, "failures", failures, "a finite figure from 0");
            part(errorShare >= 0 && errorShare <= 1, id, "errorShare", errorShare, "0 to 1");
            part(window != null && window.length == Upstream.WINDOW, id, "window", window == null ? 0 : window.length,
                "so many figures: " + Upstream.WINDOW);
            for (double trip : window) {
                part(Double.isFinite(trip), id, "window", trip, "a finite figure");
            }
            part(Double.isFinite(sum), id, "sum", sum, "a finite figure");
            part(count >= 0 && count <= Upstream.WINDOW, id, "count", count, "0 to " + Upstream.WINDOW);
            part(next >= 0 && next < Upstream.WINDOW, id, "next", next, "0 to " + (Upstream.WINDOW - 1));
            part(out != null, id, "out", 0, "a list, not nothing");
            out = List.copyOf(out);
        }

        private static void part(boolean sound, String id, String field, double value, String wanted) {
            if (!sound) {
                check(false, "server " + id + ": " + field, value, wanted);
            }
        }
    }

    /** An attempt by its request's place in {@code requests} and its number. */
    public record OfSent(int request, int attempt) {
    }

    /** {@code name} null: the class of requests whose class the settings don't name. */
    public record OfClass(String name, double trip, double deviation, double cost, double costVariance, double covariance,
            int seen) {
        public OfClass {
            String at = "class " + name + ": ";
            finite(at + "trip", trip, -Double.MAX_VALUE);
            finite(at + "deviation", deviation, -Double.MAX_VALUE);
            finite(at + "cost", cost, -Double.MAX_VALUE);
            finite(at + "costVariance", costVariance, -Double.MAX_VALUE);
            finite(at + "covariance", covariance, -Double.MAX_VALUE);
            check(seen >= 0, at + "seen", seen, "0 or more");
        }
    }

    /** Requests and further attempts of the last seconds, {@code slice} the last one counted. */
    public record OfBudget(Budget rule, int[] requests, int[] retries, long slice) {
        public OfBudget {
            check(rule != null, "budget.rule", null, "a rule");
            seconds("budget.requests", requests);
            seconds("budget.retries", retries);
        }

        private static void seconds(String field, int[] counts) {
            check(counts != null && counts.length == RetryBudget.SLICES, field, counts, RetryBudget.SLICES + " counts");
            for (int each : counts) {
                check(each >= 0, field, each, "0 or more");
            }
        }
    }

    /** A token bucket. */
    public record OfQuota(String tenant, double perSecond, double left, long at, boolean used) {
        public OfQuota {
            check(tenant != null, "quota.tenant", null, "a name");
            check(perSecond > 0 && Double.isFinite(perSecond), "quota " + tenant + ": perSecond", perSecond, "more than 0");
            finite("quota " + tenant + ": left", left, 0);
        }
    }

    /** {@code last}: the last answers' latencies, null before the first. */
    public record OfLatencies(HedgePercentile rule, long[] last, long seen, long percentile) {
        public OfLatencies {
            check(rule != null, "latencies.rule", null, "a rule");
            check(last == null ? seen == 0 : last.length == Latencies.KEPT, "latencies.last", last, Latencies.KEPT + " figures");
            check(seen >= 0 && percentile >= 0, "latencies.seen", seen, "0 or more, and the percentile too");
        }
    }

    /** A route at work: its rules, and places of its budget, quotas and latencies. */
    public record OfRouteUse(RouteRules rules, int budget, List<Integer> quotas, int latencies) {
        public OfRouteUse {
            check(rules != null, "routeUse.rules", null, "rules");
            quotas = copy("routeUse.quotas", quotas);
        }
    }

    /**
     * {@code requestClass} null: a class that the settings don't name; {@code anchor}: the attempt's number; {@code zones}:
     * those it may be sent to, in their order, null for any.
     */
    public record OfRequest(String id, String requestClass, int route, double worth, double rank, long number,
            long arrivedAt, long deadline, boolean shortened, double cost, List<OfAttempt> attempts, int anchor,
            List<String> zones, boolean done, boolean waits, boolean admitted, long wakeAt) {
        public OfRequest {
            check(id != null, "request.id", null, "a name");
            String at = "request " + id + ": ";
            finite(at + "worth", worth, 0);
            finite(at + "rank", rank, 0);
            check(Double.isFinite(cost), at + "cost", cost, "a finite figure");
            attempts = copy(at + "attempts", attempts);
            zones = zones == null ? null : copy(at + "zones", zones);
            check(zones == null || zones.size() == Set.copyOf(zones).size(), at + "zones", zones, "each zone once");
            check(anchor >= -1 && anchor < attempts.size(), at + "anchor", anchor, "-1 or an attempt's number");
        }
    }

    /** {@code server}: its place in {@code servers}. */
    public record OfAttempt(int server, long sentAt, boolean ended, boolean neverRan, boolean overstayed,
            boolean streaming, boolean successorPaid) {
    }

    /** {@code request}: its place in {@code requests}, -1 for the list's subscription; {@code spent}: waits no longer. */
    public record OfTimer(long at, long number, int request, boolean spent) {
    }

    /** The admission limit. */
    public record OfAdmission(double limit, int admitted, boolean learning, boolean starting, double quickest, int slow,
            double learnedOver) {
        public OfAdmission {
            check(limit >= 1 && Double.isFinite(limit), "admission.limit", limit, "1 or more");
            check(admitted >= 0, "admission.admitted", admitted, "0 or more");
            check(quickest >= 0, "admission.quickest", quickest, "0 or more");
            check(slow >= 0, "admission.slow", slow, "0 or more");
            check(learnedOver > 0 && Double.isFinite(learnedOver), "admission.learnedOver", learnedOver, "more than 0");
        }
    }

    static void check(boolean sound, String field, Object value, String wanted) {
        if (!sound) {
            throw new IllegalArgumentException("snapshot: " + field + ": " + value + ", expected " + wanted);
        }
    }

    private static void finite(String field, double value, double least) {
        check(value >= least && Double.isFinite(value), field, value, "a finite figure" + (least == 0 ? " from 0" : ""));
    }

    private static <T> List<T> copy(String field, List<T> list) {
        check(list != null && list.stream().allMatch(Objects::nonNull), field, list == null ? null : "a null in it", "a list");
        return List.copyOf(list);
    }
}

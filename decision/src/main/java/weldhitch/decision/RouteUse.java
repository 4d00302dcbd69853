package weldhitch.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import weldhitch.decision.Balancing.Outcome;
import weldhitch.decision.RouteRules.*;

/** One route at work: its rules, and what they need to remember. */
final class RouteUse {
    final RouteRules rules;
    /** Null where the route has none. */
    final RetryBudget budget;
    final Map<String, Quota> tenants;
    /** Null where no rule asks for them. */
    final Latencies latencies;

    /** Shares with {@code before}, a route of the same name or group or null, what has the same rule in both. */
    RouteUse(RouteRules rules, int siblings, RouteUse before) {
        this.rules = rules;
        boolean same = before != null && before.budget != null && before.budget.budget().equals(rules.budget());
        budget = rules.budget() == null ? null : same ? before.budget : new RetryBudget(rules.budget());
        tenants = new LinkedHashMap<>();
        rules.tenants().forEach((tenant, perSecond) -> tenants.put(tenant,
            before != null && perSecond.equals(before.rules.tenants().get(tenant)) ? before.tenants.get(tenant)
                : new Quota(perSecond / siblings)));
        if (rules.hedge() instanceof HedgePercentile hedge) {
            latencies = before != null && hedge.equals(before.rules.hedge()) ? before.latencies
                : new Latencies(hedge);
        } else {
            latencies = null;
        }
    }

    /** As it was when it was saved. */
    RouteUse(RouteRules rules, RetryBudget budget, Map<String, Quota> tenants, Latencies latencies) {
        this.rules = rules;
        this.budget = budget;
        this.tenants = tenants;
        this.latencies = latencies;
    }

    /** A request that its tenant's limit leaves in; what is refused pays for no further attempts. */
    void letIn(long now) {
        if (budget != null) {
            budget.request(now);
        }
    }

    /** The quota that this tenant has used up; null while it has not, or has none. */
    Quota exceeded(String tenant, long now) {
        if (tenants.isEmpty()) {
            return null;
        }
        Quota quota = tenant == null ? null : tenants.get(tenant);
        quota = quota == null ? tenants.get("*") : quota;
        return quota == null || quota.take(now) ? null : quota;
    }

    long deadline(long now, long asked) {
        return rules.deadline() > 0 ? Math.min(asked, now + rules.deadline()) : asked;
    }

    int attempts(int allowed) {
        return rules.attempts() > 0 ? Math.min(allowed, rules.attempts()) : allowed;
    }

    /** How long an attempt sent now may take: never past the deadline; 0 where nothing here bounds it. */
    long timeout(long own, long left) {
        long timeout = rules.attemptTimeout() > 0 ? rules.attemptTimeout() : own;
        return timeout > 0 ? Math.min(timeout, left) : rules.deadline() > 0 ? left : 0;
    }

    boolean retries(Outcome outcome) {
        return outcome == Outcome.NOT_SENT || rules.retryOn().contains(outcome);
    }

    boolean hasBudget() {
        return budget != null;
    }

    boolean spend(long now) {
        return budget.take(now);
    }

    /** The wait before further attempt {@code n}, counted from 1; below 0 where the route has none of its own. */
    long wait(int n, SeededRandom random) {
        return rules.backoff() == null ? -1 : (long) (random.nextDouble() * rules.backoff().ceiling(n));
    }

    /** When a second copy goes out after the first; {@code own} where the route does not say, 0 for never. */
    long hedgeAfter(long own) {
        if (rules.hedge() instanceof HedgeAfter fixed) {
            return fixed.delay();
        }
        if (rules.hedge() instanceof HedgePercentile) {
            return latencies.percentile();
        }
        return rules.hedge() instanceof HedgeOff ? 0 : own;
    }

    void answered(long latency) {
        if (latencies != null) {
            latencies.add(latency);
        }
    }

    long retryAfter(long own) {
        return rules.retryAfter() == null ? own : rules.retryAfter().hold(own);
    }
}

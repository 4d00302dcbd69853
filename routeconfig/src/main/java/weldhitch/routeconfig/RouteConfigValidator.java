package weldhitch.routeconfig;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.routing.RoutePolicy.Backoff;
import weldhitch.decision.routing.RoutePolicy.HedgeAfterDelay;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.HedgingDisabled;
import weldhitch.decision.routing.RoutePolicy.RetryAfterBounds;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.Idempotency;
import weldhitch.decision.settings.RequestClass;
import weldhitch.decision.settings.Tenant;
import weldhitch.routeconfig.RuleSection.Kind;
import weldhitch.routeconfig.RuleSection.Setting;

/**
 * Validates sections against the platform's settings, the balancer's invariants, and each other. Used by {@link
 * RouteConfigParser} for one file; not thread-safe.
 */
final class RouteConfigValidator {
    /** A hedge percentile that needs more than this many seconds of traffic causes a warning. */
    private static final int MAX_SAMPLING_SECONDS = 60;

    private final TomlLineIndex lineIndex;
    private final BalancerSettings platform;
    private final Map<String, RequestClass> classByName;
    private final Set<String> tenantNames;
    private final ProblemCollector problems;

    /**
     * Creates a validator that adds to {@code problems}.
     *
     * @param platform the platform's settings, or null if they are not known
     */
    RouteConfigValidator(TomlLineIndex lineIndex, BalancerSettings platform, ProblemCollector problems) {
        this.lineIndex = lineIndex;
        this.platform = platform;
        this.problems = problems;
        classByName = platform == null
                ? Map.of()
                : platform.classes().stream().collect(Collectors.toMap(RequestClass::name, Function.identity()));
        tenantNames = platform == null
                ? Set.of()
                : platform.tenants().stream().map(Tenant::name).collect(Collectors.toSet());
    }

    /** Checks each section by itself, and the routes for ambiguity. */
    void validate(List<RuleSection> sections) {
        for (RuleSection section : sections) {
            String requestClass = section.pattern().requestClass();
            if (platform != null && requestClass != null && !classByName.containsKey(requestClass)) {
                String key = section.kind() == Kind.CLASS ? section.key() : classKey(section);
                error(
                        key,
                        "the platform has no class \"" + requestClass + "\"",
                        () -> SpellingSuggestions.suggest(requestClass, classByName.keySet()));
            }
            checkSection(section);
        }
        AmbiguityDetector ambiguityDetector = new AmbiguityDetector();
        for (RuleSection section : sections) {
            if (section.kind() == Kind.ROUTE) {
                ambiguityDetector.add(section).forEach(earlier -> reportAmbiguity(earlier, section));
            }
        }
    }

    /** Returns the key that determines a route's class: {@code class}, {@code path} or {@code prefix}. */
    private String classKey(RuleSection section) {
        for (String name : List.of("class", "path", "prefix")) {
            if (lineIndex.contains(section.key() + "." + name)) {
                return section.key() + "." + name;
            }
        }
        return section.key();
    }

    private void reportAmbiguity(RuleSection first, RuleSection second) {
        boolean identical = first.pattern().equals(second.pattern());
        error(
                second.key(),
                (identical ? "matches the same requests as" : "is as specific as") + " route \"" + first.name()
                        + "\" on line " + lineIndex.lineOf(first.key())
                        + (identical ? "" : ", and some requests match both"),
                identical
                        ? "merge the two, or give one a method, class or longer path"
                        : "add the other's method or class to one of them");
    }

    /** Reports settings of a section that are invalid for its classes, regardless of other sections. */
    private void checkSection(RuleSection section) {
        Idempotency idempotency = idempotencyOf(section.pattern().requestClass());
        checkRetryOn(section, idempotency);
        checkHedgingAllowed(section, idempotency);
        checkAttempts(section);
        checkRetryAfter(section);
        checkTenants(section);
    }

    private void checkRetryOn(RuleSection section, Idempotency idempotency) {
        Setting retryOn = section.settings().get(RuleKey.RETRY_ON);
        if (section.kind() != Kind.DEFAULTS && idempotency == Idempotency.NON_IDEMPOTENT && retryOn != null) {
            Set<String> possiblyExecuted = outcomesOf(retryOn).stream()
                    .filter(outcome -> !outcome.notExecuted)
                    .map(OutcomeNames::nameOf)
                    .collect(Collectors.toCollection(TreeSet::new));
            if (!possiblyExecuted.isEmpty()) {
                error(
                        retryOn.key(),
                        "class " + section.pattern().requestClass() + " is not idempotent: after "
                                + String.join(", ", possiblyExecuted)
                                + " the request may have run, and a retry could run it twice",
                        "list only connect-failed and full");
            }
        }
    }

    private void checkHedgingAllowed(RuleSection section, Idempotency idempotency) {
        Setting hedge = section.settings().get(RuleKey.HEDGE);
        if (hedge != null && !(hedge.value() instanceof HedgingDisabled)) {
            if (section.kind() != Kind.DEFAULTS && idempotency != null && idempotency != Idempotency.IDEMPOTENT) {
                error(
                        hedge.key(),
                        "class " + section.pattern().requestClass()
                                + " is not idempotent by itself: a hedged request could run twice",
                        "remove hedge or write hedge = \"off\"");
            } else if (platform != null && !platform.limits().hedgingAllowed()) {
                error(hedge.key(), "the platform does not allow hedged requests", "remove hedge");
            }
        }
    }

    private void checkAttempts(RuleSection section) {
        Setting attempts = section.settings().get(RuleKey.ATTEMPTS);
        if (platform != null
                && attempts != null
                && (int) attempts.value() > platform.limits().maxAttempts()) {
            error(
                    attempts.key(),
                    attempts.value() + " is more than the platform's limit of "
                            + platform.limits().maxAttempts(),
                    "a route can only lower the limit: write 1 to "
                            + platform.limits().maxAttempts());
        }
    }

    private void checkRetryAfter(RuleSection section) {
        Setting retryAfter = section.settings().get(RuleKey.RETRY_AFTER);
        if (platform != null && retryAfter != null) {
            if (!platform.limits().retryAfterAllowed()) {
                error(retryAfter.key(), "the platform does not allow Retry-After", "remove it");
            } else if (((RetryAfterBounds) retryAfter.value()).max()
                    > platform.limits().maxRetryAfter()) {
                error(
                        retryAfter.key() + ".max",
                        "is longer than the platform's limit of "
                                + ValueFormat.formatDuration(platform.limits().maxRetryAfter()),
                        "make it at most that long");
            }
        }
    }

    private void checkTenants(RuleSection section) {
        Setting tenants = section.settings().get(RuleKey.TENANTS);
        if (platform != null && !platform.tenants().isEmpty() && tenants != null) {
            for (Object tenant : ((Map<?, ?>) tenants.value()).keySet()) {
                if (!tenant.equals("*") && !tenantNames.contains(tenant)) {
                    error(
                            tenants.key() + "." + tenant,
                            "the platform has no such tenant",
                            () -> SpellingSuggestions.suggest((String) tenant, tenantNames));
                }
            }
        }
    }

    /**
     * Returns the settings in effect for one class, or for any class (null), with hedging and retries that the class
     * does not allow removed. Reports settings that contradict each other.
     *
     * @param merged the settings after narrower sections have overridden wider ones
     * @param section the section whose route the settings are for
     */
    Map<RuleKey, Setting> effectiveSettings(Map<RuleKey, Setting> merged, RuleSection section, String requestClass) {
        Map<RuleKey, Setting> settings = applicableTo(merged, idempotencyOf(requestClass));
        RequestClass classSettings = requestClass == null ? null : classByName.get(requestClass);
        Setting deadlineSetting = settings.get(RuleKey.DEADLINE);
        long platformDeadline = classSettings == null ? 0 : classSettings.deadline();
        long deadline = deadlineSetting == null
                ? platformDeadline
                : platformDeadline == 0
                        ? (long) deadlineSetting.value()
                        : Math.min(platformDeadline, (long) deadlineSetting.value());
        String deadlineText = deadlineSetting == null ? "the platform's deadline of " : "the deadline of ";
        Setting attemptTimeout = settings.get(RuleKey.ATTEMPT_TIMEOUT);
        Setting backoff = settings.get(RuleKey.BACKOFF);
        Setting attempts = settings.get(RuleKey.ATTEMPTS);
        int maxAttempts = attempts != null
                ? (int) attempts.value()
                : platform != null ? platform.limits().maxAttempts() : 0;
        if (attemptTimeout != null && deadline > 0 && (long) attemptTimeout.value() > deadline) {
            error(
                    problemKey(section, attemptTimeout, deadlineSetting),
                    "attempt-timeout " + ValueFormat.formatDuration((long) attemptTimeout.value()) + " is longer than "
                            + deadlineText + ValueFormat.formatDuration(deadline),
                    "make it shorter than the deadline");
        } else if (deadline > 0 && maxAttempts > 1 && (attemptTimeout != null || backoff != null)) {
            long worstCaseTime = worstCaseTime(maxAttempts, attemptTimeout, backoff);
            if (worstCaseTime > deadline) {
                error(
                        problemKey(section, attempts, attemptTimeout, backoff, deadlineSetting),
                        maxAttempts + " attempts"
                                + (attempts == null ? " (the platform's limit, because attempts is not set)" : "")
                                + " with their timeouts and backoff can take "
                                + ValueFormat.formatDuration(worstCaseTime) + ", longer than "
                                + deadlineText
                                + ValueFormat.formatDuration(deadline),
                        "lower attempts, attempt-timeout or backoff");
            }
        }
        Setting hedge = settings.get(RuleKey.HEDGE);
        if (hedge != null && !(hedge.value() instanceof HedgingDisabled)) {
            checkHedging(section, settings, hedge, deadline, maxAttempts);
        }
        return settings;
    }

    /** Returns the settings without the hedging and retries that a class does not allow. */
    private static Map<RuleKey, Setting> applicableTo(Map<RuleKey, Setting> merged, Idempotency idempotency) {
        Map<RuleKey, Setting> settings = new EnumMap<>(RuleKey.class);
        settings.putAll(merged);
        Setting hedge = settings.get(RuleKey.HEDGE);
        if (hedge != null && idempotency != null && idempotency != Idempotency.IDEMPOTENT) {
            settings.remove(RuleKey.HEDGE);
        }
        Setting retryOn = settings.get(RuleKey.RETRY_ON);
        if (retryOn != null && idempotency == Idempotency.NON_IDEMPOTENT) {
            settings.put(
                    RuleKey.RETRY_ON,
                    new Setting(
                            outcomesOf(retryOn).stream()
                                    .filter(outcome -> outcome.notExecuted)
                                    .collect(Collectors.toSet()),
                            retryOn.key(),
                            retryOn.line(),
                            retryOn.source()));
        }
        return settings;
    }

    /**
     * Returns the time that all attempts take, in nanoseconds, if each reaches its timeout and the backoff between them
     * is the longest possible.
     */
    private static long worstCaseTime(int maxAttempts, Setting attemptTimeout, Setting backoff) {
        long worstCaseTime = attemptTimeout == null ? 0 : maxAttempts * (long) attemptTimeout.value();
        for (int retry = 1; backoff != null && retry < maxAttempts; retry++) {
            worstCaseTime += ((Backoff) backoff.value()).ceiling(retry);
        }
        return worstCaseTime;
    }

    private void checkHedging(
            RuleSection section, Map<RuleKey, Setting> settings, Setting hedge, long deadline, int maxAttempts) {
        Setting attemptTimeout = settings.get(RuleKey.ATTEMPT_TIMEOUT);
        if (maxAttempts == 1) {
            error(
                    problemKey(section, hedge, settings.get(RuleKey.ATTEMPTS)),
                    "a hedged request needs a second attempt, but attempts is 1",
                    "write attempts = 2 or more, or remove hedge");
        }
        if (hedge.value() instanceof HedgeAfterDelay fixedDelay) {
            long limit = attemptTimeout == null ? deadline : (long) attemptTimeout.value();
            if (limit > 0 && fixedDelay.delay() >= limit) {
                error(
                        problemKey(section, hedge, attemptTimeout, settings.get(RuleKey.DEADLINE)),
                        "a hedged request after " + ValueFormat.formatDuration(fixedDelay.delay())
                                + " is never sent: the " + (attemptTimeout == null ? "deadline" : "attempt-timeout")
                                + " is "
                                + ValueFormat.formatDuration(limit),
                        "make it shorter");
            }
        }
        Setting expectedRate = settings.get(RuleKey.EXPECTED_RATE);
        if (hedge.value() instanceof HedgeAtPercentile percentile
                && expectedRate != null
                && (double) expectedRate.value() * MAX_SAMPLING_SECONDS < percentile.minSamples()) {
            warn(
                    problemKey(section, hedge, expectedRate),
                    ValueFormat.formatNumber((double) expectedRate.value())
                            + " requests a second take longer than " + MAX_SAMPLING_SECONDS + " s to yield the "
                            + percentile.minSamples()
                            + " responses that percentile " + ValueFormat.formatNumber(percentile.percentile())
                            + " needs",
                    "lower the percentile, or write hedge = { after = \"...\" }");
        }
    }

    /**
     * Returns the key to report: the key of the first candidate that the section itself sets, or else of the first
     * candidate that is set at all.
     */
    private static String problemKey(RuleSection section, Setting... candidates) {
        String firstKey = null;
        for (Setting setting : candidates) {
            if (setting != null && setting.key().startsWith(section.key() + ".")) {
                return setting.key();
            }
            firstKey = firstKey == null && setting != null ? setting.key() : firstKey;
        }
        return Objects.requireNonNull(firstKey);
    }

    private Idempotency idempotencyOf(String requestClass) {
        RequestClass classSettings = requestClass == null ? null : classByName.get(requestClass);
        return classSettings == null ? null : classSettings.idempotency();
    }

    private static Set<AttemptOutcome> outcomesOf(Setting retryOn) {
        return ((Set<?>) retryOn.value())
                .stream().map(AttemptOutcome.class::cast).collect(Collectors.toSet());
    }

    private void error(String key, String description, Supplier<String> remedy) {
        problems.error(key, description, remedy);
    }

    /** Reports an error of a section. */
    void error(String key, String description, String remedy) {
        problems.error(key, description, remedy);
    }

    private void warn(String key, String description, String remedy) {
        problems.warn(key, description, remedy);
    }
}

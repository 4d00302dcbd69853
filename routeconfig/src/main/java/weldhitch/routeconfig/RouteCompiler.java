package weldhitch.routeconfig;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.routing.RoutePattern;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RoutePolicy.Backoff;
import weldhitch.decision.routing.RoutePolicy.HedgingPolicy;
import weldhitch.decision.routing.RoutePolicy.RetryAfterBounds;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.decision.routing.RouteTable.Route;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.routeconfig.RuleSection.Kind;
import weldhitch.routeconfig.RuleSection.Setting;

/**
 * Compiles sections to routes with their policies. The routes are in the order of the sections; the routes of one
 * section are ordered by class name. Used by {@link RouteConfigParser} for one file; not thread-safe.
 */
final class RouteCompiler {
    /** Routes after those without a class have been multiplied by the classes. */
    static final int MAX_COMPILED_ROUTES = 50_000;

    private final BalancerSettings platform;
    private final RouteConfigValidator validator;
    private final Map<RuleKey, Setting> defaults = new EnumMap<>(RuleKey.class);
    private final Map<String, RuleSection> sectionByClass = new LinkedHashMap<>();
    private final List<Route> routes = new ArrayList<>();
    private final Map<String, Map<RuleKey, Setting>> settingsByRoute = new LinkedHashMap<>();

    /**
     * Creates a compiler without routes.
     *
     * @param platform the platform's settings, or null if they are not known
     * @param validator reports merged settings that contradict each other
     */
    RouteCompiler(BalancerSettings platform, RouteConfigValidator validator) {
        this.platform = platform;
        this.validator = validator;
    }

    /** Returns the routes compiled so far. */
    List<Route> routes() {
        return routes;
    }

    /** Returns the settings in effect for each route, by the route's name. */
    Map<String, Map<RuleKey, Setting>> settingsByRoute() {
        return settingsByRoute;
    }

    /**
     * Compiles sections to routes. For a route without a class, one route for each class is added, because each class
     * has its own defaults.
     */
    void compile(List<RuleSection> sections) {
        Set<RoutePattern> declaredPatterns =
                sections.stream().map(RuleSection::pattern).collect(Collectors.toSet());
        for (RuleSection section : sections) {
            if (section.kind() == Kind.DEFAULTS) {
                defaults.putAll(section.settings());
            } else if (section.kind() == Kind.CLASS) {
                sectionByClass.put(section.name(), section);
            }
        }
        Set<String> classNames = new TreeSet<>(sectionByClass.keySet());
        if (platform != null) {
            platform.classes().forEach(requestClass -> classNames.add(requestClass.name()));
        }
        if (!withinLimit(sections, classNames)) {
            return;
        }
        for (RuleSection section : sections) {
            compileSection(section, classNames, declaredPatterns);
        }
    }

    private boolean withinLimit(List<RuleSection> sections, Set<String> classNames) {
        long withoutClass = sections.stream()
                .filter(section -> section.pattern().requestClass() == null)
                .count();
        long routeCount = sections.size() + withoutClass * classNames.size();
        if (routeCount <= MAX_COMPILED_ROUTES) {
            return true;
        }
        validator.error(
                "route",
                withoutClass + " sections without a class apply to each of " + classNames.size() + " classes: "
                        + routeCount + " routes",
                "name the class of each route, or write fewer: " + MAX_COMPILED_ROUTES + " routes in all at most");
        return false;
    }

    private void compileSection(RuleSection section, Set<String> classNames, Set<RoutePattern> declaredPatterns) {
        RoutePattern pattern = section.pattern();
        String requestClass = pattern.requestClass();
        RuleSection classSection = section.kind() == Kind.ROUTE ? sectionByClass.get(requestClass) : null;
        addRoute(section, section.name(), pattern, classSection);
        for (String className : requestClass == null ? classNames : Set.<String>of()) {
            RoutePattern narrowed = new RoutePattern(className, pattern.method(), pattern.segments(), pattern.prefix());
            if (section.kind() == Kind.ROUTE
                    ? !declaredPatterns.contains(narrowed)
                    : !sectionByClass.containsKey(className)) {
                addRoute(
                        section,
                        section.name() + "@" + className,
                        narrowed,
                        section.kind() == Kind.ROUTE ? sectionByClass.get(className) : null);
            }
        }
    }

    private void addRoute(RuleSection section, String name, RoutePattern pattern, RuleSection classSection) {
        Map<RuleKey, Setting> merged =
                section.mergedOver(classSection == null ? defaults : classSection.mergedOver(defaults));
        Map<RuleKey, Setting> settings = validator.effectiveSettings(merged, section, pattern.requestClass());
        String routeName = section.kind() == Kind.CLASS ? "class " + name : name;
        routes.add(new Route(routeName, section.kind().ordinal(), pattern, toRoutePolicy(settings)));
        settingsByRoute.put(routeName, settings);
    }

    private static RoutePolicy toRoutePolicy(Map<RuleKey, Setting> settings) {
        Long deadline = settingValue(settings, RuleKey.DEADLINE, Long.class);
        Long attemptTimeout = settingValue(settings, RuleKey.ATTEMPT_TIMEOUT, Long.class);
        Integer attempts = settingValue(settings, RuleKey.ATTEMPTS, Integer.class);
        Set<?> retryOn = settingValue(settings, RuleKey.RETRY_ON, Set.class);
        Map<?, ?> tenants = settingValue(settings, RuleKey.TENANTS, Map.class);
        Map<String, Double> tenantQuotas = new LinkedHashMap<>();
        if (tenants != null) {
            tenants.forEach((tenant, perSecond) -> tenantQuotas.put((String) tenant, (Double) perSecond));
        }
        return new RoutePolicy(
                deadline == null ? 0 : deadline,
                attemptTimeout == null ? 0 : attemptTimeout,
                attempts == null ? 0 : attempts,
                settingValue(settings, RuleKey.BACKOFF, Backoff.class),
                retryOn == null
                        ? RoutePolicy.RETRYABLE
                        : retryOn.stream().map(AttemptOutcome.class::cast).collect(Collectors.toSet()),
                settingValue(settings, RuleKey.BUDGET, RetryBudgetSettings.class),
                settingValue(settings, RuleKey.HEDGE, HedgingPolicy.class),
                settingValue(settings, RuleKey.RETRY_AFTER, RetryAfterBounds.class),
                tenantQuotas);
    }

    private static <T> T settingValue(Map<RuleKey, Setting> settings, RuleKey key, Class<T> type) {
        Setting setting = settings.get(key);
        return setting == null ? null : type.cast(setting.value());
    }
}

package weldhitch.operator;

import java.util.Collection;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import weldhitch.decision.Balancing.Outcome;
import weldhitch.decision.RouteRules;

/** Outcomes of attempts by the names that operators give them. */
final class Outcomes {
    private Outcomes() {
    }

    static String name(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static Outcome of(String name) {
        return RouteRules.RETRYABLE.stream().filter(o -> name(o).equals(name)).findFirst().orElse(null);
    }

    static Collection<String> names() {
        return names(RouteRules.RETRYABLE);
    }

    static Collection<String> names(Set<Outcome> outcomes) {
        return outcomes.stream().sorted().map(Outcomes::name).collect(Collectors.toList());
    }
}

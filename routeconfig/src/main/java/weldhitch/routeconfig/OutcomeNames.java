package weldhitch.routeconfig;

import java.util.Collection;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.routing.RoutePolicy;

/** Converts between outcomes of attempts and their names in the file. Stateless and thread-safe. */
final class OutcomeNames {
    private OutcomeNames() {}

    /** The name of an outcome in the file. */
    static String nameOf(AttemptOutcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The outcome with this name that may be retried, or null. */
    static AttemptOutcome parse(String name) {
        return RoutePolicy.RETRYABLE.stream()
                .filter(o -> nameOf(o).equals(name))
                .findFirst()
                .orElse(null);
    }

    /** The names of all outcomes that may be retried. */
    static Collection<String> retryableNames() {
        return namesOf(RoutePolicy.RETRYABLE);
    }

    /** The names of these outcomes, in the order of the type. */
    static Collection<String> namesOf(Set<AttemptOutcome> outcomes) {
        return outcomes.stream().sorted().map(OutcomeNames::nameOf).collect(Collectors.toList());
    }
}

package weldhitch.routeconfig;

import java.util.Collection;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.routing.RoutePolicy;

/** Converts between the outcomes of attempts and their names in the file. Stateless and thread-safe. */
final class OutcomeNames {
    private OutcomeNames() {}

    /** Returns the name of an outcome in the file. */
    static String nameOf(AttemptOutcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the outcome with this name; null if there is none or it may not be retried. */
    static AttemptOutcome parse(String name) {
        return RoutePolicy.RETRYABLE.stream()
                .filter(o -> nameOf(o).equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Returns the names of all outcomes that may be retried. */
    static Collection<String> retryableNames() {
        return namesOf(RoutePolicy.RETRYABLE);
    }

    /** Returns the names of these outcomes, in the order of the enum constants. */
    static Collection<String> namesOf(Set<AttemptOutcome> outcomes) {
        return outcomes.stream().sorted().map(OutcomeNames::nameOf).collect(Collectors.toList());
    }
}

package weldhitch.coordinator.core;

import java.util.List;
import weldhitch.fleet.activation.LeaseTiming;

/**
 * The configuration of one coordinator. Immutable.
 *
 * @param name this coordinator's name, one of {@code coordinators}
 * @param incarnation unique for each start, because no two active proposers may share a name
 * @param coordinators names of all coordinators
 * @param missingMemberPolicy how a version is decided when a member does not vote
 */
public record CoordinatorConfig(
        String name,
        String incarnation,
        List<String> coordinators,
        LeaseTiming timing,
        MissingMemberPolicy missingMemberPolicy) {
    /** Copies the list of coordinators. */
    public CoordinatorConfig {
        coordinators = List.copyOf(coordinators);
    }

    /** Returns the names of the other coordinators, in the configured order. */
    List<String> peers() {
        return coordinators.stream().filter(peer -> !peer.equals(name)).toList();
    }

    /** Returns the name of this process as a proposer, unique for each start. */
    String proposerName() {
        return name + "/" + incarnation;
    }
}

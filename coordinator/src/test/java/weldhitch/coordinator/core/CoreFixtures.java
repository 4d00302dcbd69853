package weldhitch.coordinator.core;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import weldhitch.consensus.Command;
import weldhitch.consensus.CommittedState;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.activation.MemberHeartbeat;

/** Configurations, states and calls for tests of the classes that a coordinator's core consists of. Stateless. */
final class CoreFixtures {
    static final LeaseTiming TIMING = LeaseTiming.DEFAULT;
    static final String PREPARED_SHA256 = "sha";

    private CoreFixtures() {}

    /** Returns the configuration of {@code s1} in a cluster of three. */
    static CoordinatorConfig config(MissingMemberPolicy policy) {
        return new CoordinatorConfig("s1", "i1", List.of("s1", "s2", "s3"), TIMING, policy);
    }

    static CoordinatorConfig config() {
        return config(MissingMemberPolicy.ABORT);
    }

    /** Returns the state after these members have joined, each with the incarnation {@code x}. */
    static CommittedState withMembers(String... members) {
        TreeMap<String, String> incarnations = new TreeMap<>();
        for (String member : members) {
            incarnations.put(member, "x");
        }
        return apply(CommittedState.INITIAL, state -> state.membershipCommand("s1", "join", incarnations, Set.of()));
    }

    /** Returns the state after the submission {@code submissionId} has prepared another version. */
    static CommittedState withPendingVersion(CommittedState before, String submissionId) {
        return apply(before, state -> state.prepareCommand("s1", submissionId, PREPARED_SHA256, "bundle", "v.toml"));
    }

    /** Returns the state after the command that {@code command} builds from the state {@code before}. */
    static CommittedState apply(CommittedState before, java.util.function.Function<FleetState, Command> command) {
        return before.apply(command.apply(FleetState.fromCommitted(before)));
    }

    /** Returns a member's heartbeat with its vote on {@code votedVersion}, or without a vote if that is 0. */
    static MemberHeartbeat call(String member, long votedVersion, boolean accepts, String... rejectionReasons) {
        return new MemberHeartbeat(member, "x", 0, votedVersion, accepts, List.of(rejectionReasons), false);
    }
}

package weldhitch.coordinator.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import weldhitch.consensus.Command;
import weldhitch.fleet.activation.MemberHeartbeat;

/** Tests how the leader tracks joins, leaves and leases of members. */
class MembershipTest {
    private final MembershipChanges changes = new MembershipChanges("s1", () -> "id");
    private final FleetState state = FleetState.fromCommitted(CoreFixtures.withMembers("m1", "m2"));

    private Map<String, String> proposedMembers() {
        return changes.nextCommand(state).orElseThrow().parameters();
    }

    @Test
    void newMemberAndNewIncarnationJoin() {
        assertTrue(changes.onCall(CoreFixtures.call("m1", 0, false), state.members()));
        assertEquals(Optional.empty(), changes.nextCommand(state));
        assertFalse(changes.onCall(CoreFixtures.call("m3", 0, false), state.members()));
        assertFalse(changes.onCall(new MemberHeartbeat("m2", "y", 0, 0, false, List.of(), false), state.members()));
        assertEquals(Map.of("m1", "x", "m2", "y", "m3", "x"), proposedMembers());
    }

    @Test
    void onlyTheCurrentIncarnationLeavesAndOperatorsRemoveMembers() {
        changes.onCall(new MemberHeartbeat("m1", "old", 0, 0, false, List.of(), true), state.members());
        assertEquals(Optional.empty(), changes.nextCommand(state));
        changes.onCall(new MemberHeartbeat("m1", "x", 0, 0, false, List.of(), true), state.members());
        changes.remove("unknown", state.members());
        assertEquals(Map.of("m2", "x"), proposedMembers());
        changes.remove("m2", state.members());
        assertEquals(Map.of(), proposedMembers());
    }

    @Test
    void committedChangesAreDropped() {
        changes.onCall(CoreFixtures.call("m3", 0, false), state.members());
        changes.remove("m1", state.members());
        Command command = changes.nextCommand(state).orElseThrow();
        assertEquals(Command.Action.MEMBERSHIP, command.action());
        changes.onCommitted(command.parameters());
        assertEquals(Optional.empty(), changes.nextCommand(state));
    }

    @Test
    void leaseExpires() {
        MemberLeases leases = new MemberLeases(100);
        leases.grant("m1", 0);
        leases.grant("m2", 50);
        assertEquals(Set.of("m1", "m2"), leases.holders(99));
        assertEquals(Set.of("m2"), leases.holders(100));
        leases.clear();
        assertEquals(Set.of(), leases.holders(99));
    }
}

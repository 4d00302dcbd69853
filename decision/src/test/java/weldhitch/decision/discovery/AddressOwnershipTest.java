package weldhitch.decision.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.decision.discovery.AddressOwnership.Listing;
import weldhitch.decision.endpoint.EndpointState;

/** Tests which endpoint {@link AddressOwnership} takes for the process at an address. */
class AddressOwnershipTest {
    private final AddressOwnership<String> ownership = new AddressOwnership<>();

    private static Listing<String> ready(String id, String address, long startedAt) {
        return new Listing<>(id, address, EndpointState.READY, startedAt);
    }

    private static Listing<String> removed(String id) {
        return new Listing<>(id, null, EndpointState.REMOVED, 0);
    }

    @Test
    void newerEndpointSupersedesTheFormerOneAtItsAddress() {
        assertNull(ownership.change(ready("former", "x", 0)));
        assertNull(ownership.change(ready("other", "y", 0)));
        assertEquals("former", ownership.change(ready("new", "x", 5)));
        assertNull(ownership.change(ready("new", "x", 5)));
    }

    @Test
    void olderEndpointThatIsListedLaterIsSuperseded() {
        assertNull(ownership.change(ready("new", "x", 5)));
        assertEquals("former", ownership.change(ready("former", "x", 4)));
    }

    @Test
    void endpointThatIsListedLastOwnsTheAddressIfBothStartedLongAgo() {
        assertNull(ownership.change(ready("former", "x", 0)));
        assertEquals("former", ownership.change(ready("new", "x", 0)));
        // An update of the superseded process is no sign that it is back; a restart is.
        assertEquals("former", ownership.change(new Listing<>("former", "x", EndpointState.DRAINING, 0)));
        assertEquals("new", ownership.change(ready("former", "x", 7)));
    }

    @Test
    void endpointThatMovesAwayLeavesItsAddressToOthers() {
        assertNull(ownership.change(ready("a", "x", 0)));
        assertNull(ownership.change(ready("a", "y", 0)));
        assertNull(ownership.change(ready("b", "x", 0)));
        assertEquals("a", ownership.change(ready("b", "y", 1)));
    }

    @Test
    void removedEndpointSupersedesNothing() {
        assertNull(ownership.change(ready("a", "x", 5)));
        assertNull(ownership.change(removed("a")));
        assertNull(ownership.change(ready("b", "x", 1)));
        assertNull(ownership.change(removed("unknown")));
    }

    @Test
    void completeListReplacesEverythingKnownBefore() {
        ownership.change(ready("gone", "x", 9));
        assertEquals(
                List.of("former"),
                ownership.replace(List.of(
                        ready("former", "x", 0), ready("new", "x", 5), ready("a", "y", 0), ready("b", "y", 0))));
        assertEquals(List.of(), ownership.replace(List.of(ready("former", "x", 0))));
        assertEquals("former", ownership.change(ready("next", "x", 1)));
    }
}

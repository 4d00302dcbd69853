package weldhitch.decision.event;

import java.util.List;

/** Assigns the zones whose endpoints serve further attempts of a request; if there are none, the request ends. */
public record ZonesAssigned(String requestId, List<String> zones) implements BalancerEvent {
    public ZonesAssigned {
        zones = List.copyOf(zones);
    }
}

package weldhitch.decision.event;

import java.util.List;

/** The request's further attempts go to endpoints of these zones; if empty, the request ends. */
public record ZonesAssigned(String requestId, List<String> zones) implements BalancerEvent {
    public ZonesAssigned {
        zones = List.copyOf(zones);
    }
}

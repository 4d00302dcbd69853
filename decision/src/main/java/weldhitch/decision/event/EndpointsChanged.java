package weldhitch.decision.event;

import java.util.List;
import weldhitch.decision.endpoint.EndpointEntry;

/** Reports an update of the endpoint list. */
public record EndpointsChanged(EndpointUpdateKind kind, List<EndpointEntry> entries) implements BalancerEvent {}

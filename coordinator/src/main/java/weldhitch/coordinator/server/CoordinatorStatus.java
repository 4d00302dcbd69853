package weldhitch.coordinator.server;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import java.util.Map;
import weldhitch.fleet.activation.ActivationOutcome;
import weldhitch.fleet.activation.RouteVersion;
import weldhitch.fleet.locality.FleetView.ZoneLoad;

/**
 * The body of {@code GET /v1/state}: the state as this coordinator knows it. Its JSON names and their order are fixed.
 * Immutable.
 *
 * @param leader the leader as far as this coordinator knows; null if it knows none
 * @param isLeader whether this coordinator is the leader
 * @param pendingVersion the version that is prepared and not active yet; null if there is none
 * @param outcome whether the version that was prepared last is committed or aborted; null while undecided
 * @param members names of the members, sorted
 * @param leaseHolders names of the members that hold a lease of this leader, sorted
 * @param zoneLoads loads by zone; null, and left out of the JSON, if this coordinator is not the leader
 */
@JsonPropertyOrder({
    "steward",
    "leader",
    "leads",
    "generation",
    "inForce",
    "pending",
    "outcome",
    "roster",
    "leased",
    "zones"
})
record CoordinatorStatus(
        @JsonProperty("steward") String name,
        @JsonProperty("leader") String leader,
        @JsonProperty("leads") boolean isLeader,
        @JsonProperty("generation") long generation,
        @JsonProperty("inForce") RouteVersion activeVersion,
        @JsonProperty("pending") RouteVersion pendingVersion,
        @JsonProperty("outcome") ActivationOutcome outcome,
        @JsonProperty("roster") List<String> members,
        @JsonProperty("leased") List<String> leaseHolders,

        @JsonProperty("zones") @JsonInclude(JsonInclude.Include.NON_NULL)
        Map<String, ZoneLoad> zoneLoads) {}

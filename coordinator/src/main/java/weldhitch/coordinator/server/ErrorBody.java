package weldhitch.coordinator.server;

import com.fasterxml.jackson.annotation.JsonProperty;
import weldhitch.fleet.error.FleetError;

/** The body of a response that rejects a request. Its JSON names are fixed. Immutable. */
record ErrorBody(
        @JsonProperty("type") String kind,
        @JsonProperty("where") String location,
        @JsonProperty("what") String problem,
        @JsonProperty("remedy") String remedy) {
    static ErrorBody of(FleetError error) {
        FleetError.Description description = error.describe();
        return new ErrorBody(description.kind(), description.location(), description.problem(), description.remedy());
    }
}

package weldhitch.fleet.member;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import weldhitch.fleet.activation.ActivationOutcome;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.activation.MemberHeartbeatResponse;
import weldhitch.fleet.activation.MemberRequest;
import weldhitch.fleet.activation.MemberResponse;
import weldhitch.fleet.activation.RouteVersion;
import weldhitch.fleet.locality.FleetView;
import weldhitch.fleet.locality.NodeLoadReport;
import weldhitch.fleet.locality.ZoneLoadReport;

/**
 * Defines the JSON names of the messages between members and coordinators. The names are part of the wire protocol.
 * They do not change when a record component is renamed, because the processes of a fleet may run different builds
 * during an upgrade. Both sides must register them: a name that only one side knows would be read as absent. Stateless
 * and thread-safe.
 */
public final class MemberJson {
    private MemberJson() {}

    /** Registers the JSON names with a mapper, and returns it. */
    public static ObjectMapper register(ObjectMapper mapper) {
        mapper.addMixIn(MemberRequest.class, MemberRequestNames.class);
        mapper.addMixIn(MemberResponse.class, MemberResponseNames.class);
        mapper.addMixIn(MemberHeartbeat.class, MemberHeartbeatNames.class);
        mapper.addMixIn(MemberHeartbeatResponse.class, MemberHeartbeatResponseNames.class);
        mapper.addMixIn(ActivationOutcome.class, ActivationOutcomeNames.class);
        mapper.addMixIn(NodeLoadReport.class, NodeLoadReportNames.class);
        mapper.addMixIn(ZoneLoadReport.class, ZoneLoadReportNames.class);
        mapper.addMixIn(FleetView.class, FleetViewNames.class);
        mapper.addMixIn(FleetView.ZoneLoad.class, ZoneLoadNames.class);
        return mapper;
    }

    private interface MemberRequestNames {
        @JsonProperty("call")
        MemberHeartbeat heartbeat();

        @JsonProperty("zones")
        NodeLoadReport loadReport();

        @JsonProperty("turnFrom")
        long ownPollDelayNanos();
    }

    private interface MemberResponseNames {
        @JsonProperty("answer")
        MemberHeartbeatResponse heartbeat();

        @JsonProperty("zones")
        FleetView fleetView();

        @JsonProperty("turnIn")
        long pollSlotDelayNanos();
    }

    private interface MemberHeartbeatNames {
        @JsonProperty("voted")
        long votedVersion();

        @JsonProperty("yes")
        boolean prepared();

        @JsonProperty("noes")
        List<String> rejectionReasons();

        @JsonProperty("leaves")
        boolean leaving();
    }

    private interface MemberHeartbeatResponseNames {
        @JsonProperty("leader")
        boolean fromLeader();

        @JsonProperty("hint")
        String leaderHint();

        @JsonProperty("lease")
        boolean leaseGranted();

        @JsonProperty("leaseSpan")
        long leaseDuration();

        @JsonProperty("clock")
        String clockId();

        @JsonProperty("now")
        long clockReading();

        @JsonProperty("error")
        long clockError();

        @JsonProperty("inForce")
        RouteVersion activeVersion();

        @JsonProperty("pending")
        RouteVersion pendingVersion();

        @JsonProperty("fenced")
        boolean leaseRequired();
    }

    private interface ActivationOutcomeNames {
        @JsonProperty("number")
        long version();

        @JsonProperty("commit")
        boolean committed();

        @JsonProperty("clock")
        String clockId();

        @JsonProperty("moment")
        long activationTime();
    }

    private interface NodeLoadReportNames {
        @JsonProperty("target")
        double targetUtilization();

        @JsonProperty("mostLate")
        double maxLateFraction();

        @JsonProperty("wants")
        Map<String, Double> spillDemand();
    }

    private interface ZoneLoadReportNames {
        @JsonProperty("calls")
        double nonQuotaCallRate();

        @JsonProperty("paid")
        double quotaCallRate();

        @JsonProperty("tried")
        double observedWeight();

        @JsonProperty("failing")
        double failingWeight();

        @JsonProperty("attempts")
        double attemptRate();

        @JsonProperty("late")
        double lateRate();
    }

    private interface FleetViewNames {
        @JsonProperty("grantSpan")
        long grantDuration();

        @JsonProperty("reporters")
        int reporterCount();

        @JsonProperty("members")
        int memberCount();
    }

    private interface ZoneLoadNames {
        @JsonProperty("healthy")
        double healthyFraction();

        @JsonProperty("use")
        double utilization();

        @JsonProperty("load")
        double totalUtilization();

        @JsonProperty("late")
        double lateFraction();

        @JsonProperty("age")
        long ageNanos();
    }
}

package weldhitch.coordinator.server;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.util.Map;
import weldhitch.consensus.Message;
import weldhitch.consensus.Reply;
import weldhitch.consensus.durable.ConsensusJson;
import weldhitch.coordinator.core.PeerMessage;
import weldhitch.fleet.member.MemberJson;

/** Maps the messages between coordinators and the state on disk to JSON. Stateless and thread-safe. */
final class CoordinatorJson {
    static final ObjectMapper JSON = new ObjectMapper()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /** Mix-in that adds the type name to the JSON of messages. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
    private interface TypeTagged {}

    /**
     * The value of the property {@code is} for each type. Coordinators of other versions read these names, so they
     * never change.
     */
    private static final Map<Class<?>, String> TYPE_NAMES = Map.ofEntries(
            Map.entry(PeerMessage.VoteRequest.class, "Ask"),
            Map.entry(PeerMessage.VoteGranted.class, "Granted"),
            Map.entry(PeerMessage.VoteRelease.class, "Release"),
            Map.entry(PeerMessage.Heartbeat.class, "Beat"),
            Map.entry(PeerMessage.HeartbeatAck.class, "Beaten"),
            Map.entry(PeerMessage.ConsensusRequest.class, "Ballots"),
            Map.entry(PeerMessage.ConsensusReply.class, "Counted"),
            Map.entry(Message.Prepare.class, "Prepare"),
            Map.entry(Message.Accept.class, "Propose"),
            Map.entry(Message.Learn.class, "Decide"),
            Map.entry(Reply.Promise.class, "Promise"),
            Map.entry(Reply.Accepted.class, "Taken"),
            Map.entry(Reply.Preempted.class, "Outbid"),
            Map.entry(Reply.AlreadyCommitted.class, "Decided"),
            Map.entry(Reply.Abstained.class, "Abstains"),
            Map.entry(Reply.Superseded.class, "Passed"));

    static {
        for (Class<?> messageType : new Class<?>[] {PeerMessage.class, Message.class, Reply.class}) {
            JSON.addMixIn(messageType, TypeTagged.class);
        }
        JSON.addMixIn(PeerMessage.Heartbeat.class, HeartbeatNames.class);
        JSON.addMixIn(PeerMessage.HeartbeatAck.class, HeartbeatAckNames.class);
        ConsensusJson.register(JSON);
        MemberJson.register(JSON);
        TYPE_NAMES.forEach((type, name) -> JSON.registerSubtypes(new NamedType(type, name)));
    }

    private interface HeartbeatNames {
        @JsonProperty("number")
        long sequence();

        @JsonProperty("clock")
        String clockId();

        @JsonProperty("now")
        long clockReading();

        @JsonProperty("error")
        long clockError();

        @JsonProperty("heard")
        long ackedSequence();

        @JsonProperty("heardAt")
        long ackedAt();
    }

    private interface HeartbeatAckNames {
        @JsonProperty("number")
        long sequence();
    }

    private CoordinatorJson() {}

    /** A message from one coordinator to another, with the cluster to which both have to belong. */
    record PeerEnvelope(String cluster, String from, PeerMessage message) {}
}

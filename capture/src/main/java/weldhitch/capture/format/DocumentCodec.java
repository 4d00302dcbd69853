package weldhitch.capture.format;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.util.List;
import weldhitch.capture.policy.DroppedEvents;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RouteTable;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.snapshot.BalancerSnapshot;

/**
 * Encodes and decodes snapshots and routes as self-describing CBOR (RFC 8949): they are rare and large, and
 * their form changes over time. Unknown fields are ignored; the error for a missing or invalid field names the
 * field. Stateless and thread-safe.
 */
public final class DocumentCodec {
    private static final ObjectMapper MAPPER = DocumentNames.register(CBORMapper.builder())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .addMixIn(RoutePolicy.HedgingPolicy.class, HedgingMixIn.class)
            .build();

    private DocumentCodec() {}

    /** Jackson mix-in that writes the kind of a route's hedging rule by name. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = RoutePolicy.HedgeAfterDelay.class, name = "after"),
        @JsonSubTypes.Type(value = RoutePolicy.HedgeAtPercentile.class, name = "percentile"),
        @JsonSubTypes.Type(value = RoutePolicy.HedgingDisabled.class, name = "off")
    })
    private interface HedgingMixIn {}

    /**
     * The content of a {@link CaptureEntry.SnapshotRecord} document, without its time. The component names are the
     * CBOR names, unless an annotation gives another one.
     */
    private record SnapshotDocument(
            String node,
            String run,
            String build,
            BalancerSettings settings,
            BalancerSnapshot snapshot,
            @JsonProperty("missed") DroppedEvents dropped) {}

    static byte[] encodeSnapshot(CaptureEntry.SnapshotRecord snapshotRecord) {
        return encode(new SnapshotDocument(
                snapshotRecord.node(),
                snapshotRecord.runId(),
                snapshotRecord.build(),
                snapshotRecord.settings(),
                snapshotRecord.snapshot(),
                snapshotRecord.dropped()));
    }

    static CaptureEntry.SnapshotRecord decodeSnapshot(long timestamp, byte[] content) throws CaptureFormatException {
        ObjectNode document = decode(content, new TypeReference<ObjectNode>() {});
        if (document.get("snapshot") instanceof ObjectNode snapshot) {
            upgrade(snapshot);
        }
        SnapshotDocument decoded = decode(encode(document), new TypeReference<SnapshotDocument>() {});
        if (decoded.settings == null || decoded.snapshot == null) {
            throw new CaptureFormatException("document: settings or snapshot is null, expected both");
        }
        return new CaptureEntry.SnapshotRecord(
                timestamp,
                decoded.node,
                decoded.run,
                decoded.build,
                decoded.settings,
                decoded.snapshot,
                decoded.dropped);
    }

    /**
     * Upgrades a snapshot of an older version. Version 1 lacks the served rate of warm endpoints, which is set
     * to 0. Version 2 lacks the allowed zones of requests, and version 3 lacks the flag on attempts for whose
     * successor a retry token was taken in advance.
     */
    private static void upgrade(ObjectNode snapshot) {
        if (snapshot.path("version").asInt() == 1) {
            snapshot.put("version", 2).put("carried", 0.0).put("carriedAt", 0L);
        }
        if (snapshot.path("version").asInt() == 2) {
            snapshot.put("version", 3);
            snapshot.path("requests").forEach(request -> ((ObjectNode) request).putNull("zones"));
        }
        if (snapshot.path("version").asInt() == 3) {
            snapshot.put("version", 4);
            snapshot.path("requests")
                    .forEach(request -> request.path("attempts")
                            .forEach(attempt -> ((ObjectNode) attempt).put("successorPaid", false)));
        }
    }

    static byte[] routes(RouteTable routes) {
        return routes == null ? new byte[0] : encode(routes.routes());
    }

    static RouteTable routes(byte[] content) throws CaptureFormatException {
        try {
            return content.length == 0
                    ? null
                    : new RouteTable(decode(content, new TypeReference<List<RouteTable.Route>>() {}));
        } catch (IllegalArgumentException e) {
            throw new CaptureFormatException("routes: " + e.getMessage(), e);
        }
    }

    /** Returns a snapshot as a tree, for comparing two snapshots field by field and for displaying them. */
    public static JsonNode toTree(BalancerSnapshot snapshot) {
        return MAPPER.valueToTree(snapshot);
    }

    private static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode a document: " + e.getOriginalMessage(), e);
        }
    }

    private static <T> T decode(byte[] content, TypeReference<T> type) throws CaptureFormatException {
        try {
            T value = MAPPER.readValue(content, type);
            if (value == null) {
                throw new CaptureFormatException("document: is empty");
            }
            return value;
        } catch (JsonProcessingException e) {
            Throwable cause = e.getCause() instanceof IllegalArgumentException ? e.getCause() : null;
            throw new CaptureFormatException(
                    "document: " + (cause == null ? e.getOriginalMessage() : cause.getMessage()), e);
        } catch (IOException | IllegalArgumentException e) {
            throw new CaptureFormatException("document: " + e.getMessage(), e);
        }
    }
}

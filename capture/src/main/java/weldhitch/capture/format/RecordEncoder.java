package weldhitch.capture.format;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agrona.ExpandableDirectByteBuffer;
import weldhitch.capture.sbe.ArrivalEncoder;
import weldhitch.capture.sbe.AttemptEndedEncoder;
import weldhitch.capture.sbe.BoundEncoder;
import weldhitch.capture.sbe.ClientGoneEncoder;
import weldhitch.capture.sbe.ClockSetEncoder;
import weldhitch.capture.sbe.DecidedEncoder;
import weldhitch.capture.sbe.DocumentEncoder;
import weldhitch.capture.sbe.FirstByteEncoder;
import weldhitch.capture.sbe.MembershipEncoder;
import weldhitch.capture.sbe.MessageHeaderEncoder;
import weldhitch.capture.sbe.NewRoutesEncoder;
import weldhitch.capture.sbe.ProbedEncoder;
import weldhitch.capture.sbe.TextEncoder;
import weldhitch.capture.sbe.TimerCameEncoder;
import weldhitch.capture.sbe.ZonedEncoder;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.LogMessage;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.action.SubscribeToEndpoints;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.HealthCheckCompleted;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ResponseStarted;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.event.ZonesAssigned;

/**
 * Encodes entries one after another into a buffer, in the SBE schema {@code records.xml}. The string table and
 * the time carry over from entry to entry, so entries must be decoded in the same order, from the beginning or
 * from a {@link CaptureEntry.SnapshotRecord}. Owned by one {@link SegmentWriter}; not thread-safe.
 */
final class RecordEncoder {
    /**
     * Number of strings from which on the string table is nearly full, so that a
     * {@link CaptureEntry.SnapshotRecord}, which clears it, should follow soon.
     */
    static final int STRING_TABLE_NEARLY_FULL = 60_000;

    private static final int MAX_STRINGS = 65_534;
    private static final int MAX_STRING_BYTES = 65_534;
    private static final int MAX_GROUP_ENTRIES = 65_534;
    /** Takes the place of the two-byte length of a longer record; its four-byte length follows. */
    static final int EXTENDED_LENGTH_MARKER = 65_535;

    /** A longer text is written in a record with a four-byte length; in bytes. */
    private static final int MAX_SHORT_RECORD_TEXT_BYTES = 60_000;

    private final ExpandableDirectByteBuffer buffer = new ExpandableDirectByteBuffer(64 * 1024);
    private final Map<String, Integer> stringIds = new HashMap<>();
    private final MessageHeaderEncoder header = new MessageHeaderEncoder();
    private final TextEncoder text = new TextEncoder();
    private final ClockSetEncoder clockSet = new ClockSetEncoder();
    private final DocumentEncoder document = new DocumentEncoder();
    private final ArrivalEncoder arrival = new ArrivalEncoder();
    private final FirstByteEncoder firstByte = new FirstByteEncoder();
    private final AttemptEndedEncoder attemptEnded = new AttemptEndedEncoder();
    private final ClientGoneEncoder clientGone = new ClientGoneEncoder();
    private final TimerCameEncoder timerCame = new TimerCameEncoder();
    private final MembershipEncoder membership = new MembershipEncoder();
    private final NewRoutesEncoder newRoutes = new NewRoutesEncoder();
    private final ProbedEncoder probed = new ProbedEncoder();
    private final BoundEncoder bound = new BoundEncoder();
    private final ZonedEncoder zoned = new ZonedEncoder();
    private final DecidedEncoder decided = new DecidedEncoder();
    private int position;
    private int recordStart;
    private boolean extendedLength;
    private long lastTimestamp;

    /**
     * Thrown when an entry cannot be encoded: the string table is full, or a string or list is longer than the
     * format allows.
     */
    static final class UnencodableEntryException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        UnencodableEntryException(String message) {
            super(message, null, false, false);
        }
    }

    /** Returns the number of bytes encoded since the last {@link #clear}. */
    int length() {
        return position;
    }

    /**
     * Returns the time that the next record is relative to, in nanoseconds. Right after {@link #clear}, this is the
     * base time of the block.
     */
    long lastTimestamp() {
        return lastTimestamp;
    }

    int stringCount() {
        return stringIds.size();
    }

    ByteBuffer content() {
        return buffer.byteBuffer()
                .duplicate()
                .order(ByteOrder.LITTLE_ENDIAN)
                .limit(position)
                .position(0);
    }

    void clear() {
        position = 0;
    }

    /** Clears the string table and sets the time, so that the next entry can be decoded on its own. */
    void reset(long timestamp) {
        stringIds.clear();
        lastTimestamp = timestamp;
    }

    /**
     * Encodes one entry.
     *
     * @throws UnencodableEntryException if it cannot be encoded; the buffer then contains no part of it
     */
    void encode(CaptureEntry entry) {
        int positionBefore = position;
        long timestampBefore = lastTimestamp;
        try {
            if (entry instanceof CaptureEntry.EventRecord eventRecord) {
                encodeEvent(eventRecord.timestamp(), eventRecord.event());
                encodeActions(eventRecord.actions(), requestIdOf(eventRecord.event()));
            } else if (entry instanceof CaptureEntry.SnapshotRecord snapshotRecord) {
                byte[] content = DocumentCodec.encodeSnapshot(snapshotRecord);
                reset(snapshotRecord.timestamp());
                document.wrapAndApplyHeader(buffer, beginRecord(true), header);
                document.now(snapshotRecord.timestamp()).kind((short) 1).putContent(content, 0, content.length);
                endRecord(document.limit());
            } else {
                throw new IllegalArgumentException("entry of this type cannot be written: " + entry);
            }
        } catch (UnencodableEntryException e) {
            position = positionBefore;
            lastTimestamp = timestampBefore;
            throw e;
        }
    }

    private int beginRecord(boolean extended) {
        recordStart = position;
        extendedLength = extended;
        return position + (extended ? 6 : 2);
    }

    private void endRecord(int limit) {
        if (extendedLength) {
            buffer.putShort(recordStart, (short) EXTENDED_LENGTH_MARKER, ByteOrder.LITTLE_ENDIAN);
            buffer.putInt(recordStart + 2, limit - recordStart - 6, ByteOrder.LITTLE_ENDIAN);
        } else {
            buffer.putShort(recordStart, (short) (limit - recordStart - 2), ByteOrder.LITTLE_ENDIAN);
        }
        position = limit;
    }

    private void encodeEvent(long timestamp, BalancerEvent event) {
        if (event instanceof RequestArrived e) {
            encodeArrival(timestamp, e);
        } else if (event instanceof AttemptEnded e) {
            long requestId = encodeRequestId(e.requestId());
            int endpointStringId = stringId(e.endpointId());
            long elapsed = advanceClock(timestamp);
            attemptEnded.wrapAndApplyHeader(buffer, beginRecord(false), header);
            attemptEnded
                    .since(elapsed)
                    .request(requestId)
                    .attempt(e.attempt())
                    .server(endpointStringId)
                    .outcome((short) e.outcome().ordinal())
                    .latency(e.latency());
            attemptEnded.flags().clear().idIsWord(isStringId(e.requestId())).finished(e.requestFinished());
            AttemptEndedEncoder.LoadEncoder load =
                    attemptEnded.loadCount(e.loadReport() == null ? 0 : checkedGroupSize(e.loadReport().length));
            for (int i = 0; e.loadReport() != null && i < e.loadReport().length; i++) {
                load.next().figure(e.loadReport()[i]);
            }
            endRecord(attemptEnded.limit());
        } else if (event instanceof TimerFired e) {
            int token = stringId(e.token());
            long elapsed = advanceClock(timestamp);
            timerCame.wrapAndApplyHeader(buffer, beginRecord(false), header);
            timerCame.since(elapsed).token(token);
            endRecord(timerCame.limit());
        } else if (event instanceof ResponseStarted e) {
            long requestId = encodeRequestId(e.requestId());
            int endpointStringId = stringId(e.endpointId());
            long elapsed = advanceClock(timestamp);
            firstByte.wrapAndApplyHeader(buffer, beginRecord(false), header);
            firstByte
                    .since(elapsed)
                    .request(requestId)
                    .attempt(e.attempt())
                    .server(endpointStringId)
                    .latency(e.latency());
            firstByte.flags().clear().idIsWord(isStringId(e.requestId()));
            endRecord(firstByte.limit());
        } else if (event instanceof ClientDisconnected e) {
            long requestId = encodeRequestId(e.requestId());
            long elapsed = advanceClock(timestamp);
            clientGone.wrapAndApplyHeader(buffer, beginRecord(false), header);
            clientGone.since(elapsed).request(requestId).flags().clear().idIsWord(isStringId(e.requestId()));
            endRecord(clientGone.limit());
        } else if (event instanceof ZonesAssigned e) {
            long requestId = encodeRequestId(e.requestId());
            int zones = stringId(ZoneListCodec.encode(e.zones()));
            long elapsed = advanceClock(timestamp);
            zoned.wrapAndApplyHeader(buffer, beginRecord(false), header);
            zoned.since(elapsed).request(requestId).zones(zones).flags().clear().idIsWord(isStringId(e.requestId()));
            endRecord(zoned.limit());
        } else if (event instanceof EndpointsChanged e) {
            encodeEndpointsChanged(timestamp, e);
        } else if (event instanceof RoutesChanged e) {
            byte[] content = DocumentCodec.routes(e.routes());
            long elapsed = advanceClock(timestamp);
            newRoutes.wrapAndApplyHeader(buffer, beginRecord(true), header);
            newRoutes.since(elapsed).putRoutes(content, 0, content.length);
            endRecord(newRoutes.limit());
        } else if (event instanceof HealthCheckCompleted e) {
            int endpointStringId = stringId(e.endpointId());
            long elapsed = advanceClock(timestamp);
            probed.wrapAndApplyHeader(buffer, beginRecord(false), header);
            probed.since(elapsed)
                    .server(endpointStringId)
                    .outcome((short) e.outcome().ordinal())
                    .latency(e.latency());
            ProbedEncoder.LoadEncoder load =
                    probed.loadCount(e.loadReport() == null ? 0 : checkedGroupSize(e.loadReport().length));
            for (int i = 0; e.loadReport() != null && i < e.loadReport().length; i++) {
                load.next().figure(e.loadReport()[i]);
            }
            endRecord(probed.limit());
        }
    }

    private void encodeArrival(long timestamp, RequestArrived e) {
        long requestId = encodeRequestId(e.requestId());
        int requestClass = stringId(e.requestClass());
        int tenant = stringId(e.tenant());
        int method = stringId(e.method());
        String target = e.target();
        int queryStart = target == null ? -1 : target.indexOf('?');
        byte[] pathBytes =
                target == null ? new byte[0] : utf8(queryStart < 0 ? target : target.substring(0, queryStart));
        if (e.allowedZones() != null) {
            int zones = stringId(ZoneListCodec.encode(e.allowedZones()));
            bound.wrapAndApplyHeader(buffer, beginRecord(false), header);
            bound.zones(zones);
            endRecord(bound.limit());
        }
        long elapsed = advanceClock(timestamp);
        arrival.wrapAndApplyHeader(buffer, beginRecord(pathBytes.length > MAX_SHORT_RECORD_TEXT_BYTES), header);
        arrival.since(elapsed)
                .request(requestId)
                .requestClass(requestClass)
                .tenant(tenant)
                .method(method)
                .deadlineAfter(e.deadline() - timestamp)
                .cost(e.cost())
                .hasTarget((short) (target == null ? 0 : 1));
        arrival.flags().clear().idIsWord(isStringId(e.requestId())).clientRetry(e.clientRetry());
        arrival.putTarget(pathBytes, 0, pathBytes.length);
        endRecord(arrival.limit());
    }

    private void encodeEndpointsChanged(long timestamp, EndpointsChanged e) {
        List<EndpointEntry> entries = e.entries();
        checkedGroupSize(entries.size());
        for (EndpointEntry entry : entries) {
            stringId(entry.endpointId());
            stringId(entry.zone());
        }
        long elapsed = advanceClock(timestamp);
        membership.wrapAndApplyHeader(buffer, beginRecord(entries.size() > 1000), header);
        membership.since(elapsed).kind((short) e.kind().ordinal());
        MembershipEncoder.EntriesEncoder group = membership.entriesCount(entries.size());
        for (EndpointEntry entry : entries) {
            group.next()
                    .server(stringId(entry.endpointId()))
                    .zone(stringId(entry.zone()))
                    .cell(entry.cell())
                    .state((short) entry.state().ordinal())
                    .weight(entry.weight())
                    .startedAt(entry.startedAt());
        }
        endRecord(membership.limit());
    }

    private static String requestIdOf(BalancerEvent event) {
        return event instanceof RequestArrived e
                ? e.requestId()
                : event instanceof AttemptEnded e
                        ? e.requestId()
                        : event instanceof ResponseStarted e
                                ? e.requestId()
                                : event instanceof ClientDisconnected e
                                        ? e.requestId()
                                        : event instanceof ZonesAssigned e ? e.requestId() : null;
    }

    private void encodeActions(List<BalancerAction> actions, String eventRequestId) {
        if (actions.isEmpty()) {
            return;
        }
        checkedGroupSize(actions.size());
        for (BalancerAction action : actions) {
            registerStrings(action);
        }
        decided.wrapAndApplyHeader(buffer, beginRecord(actions.size() > 1000), header);
        DecidedEncoder.ActionsEncoder group = decided.actionsCount(actions.size());
        for (BalancerAction action : actions) {
            group.next();
            if (action instanceof SendAttempt a) {
                encodeAction(group, eventRequestId, 1, a.requestId(), a.endpointId(), a.timeout(), false);
            } else if (action instanceof CancelAttempt a) {
                encodeAction(group, eventRequestId, 2, a.requestId(), null, a.attempt(), false);
            } else if (action instanceof RejectRequest a) {
                encodeAction(group, eventRequestId, 3, a.requestId(), null, a.retryAfter(), false);
            } else if (action instanceof FailRequest a) {
                encodeAction(group, eventRequestId, 4, a.requestId(), null, 0, a.routeDeadlineExceeded());
            } else if (action instanceof ScheduleTimer a) {
                encodeAction(group, eventRequestId, 5, null, a.token(), a.delay(), false);
            } else if (action instanceof SubscribeToEndpoints) {
                encodeAction(group, eventRequestId, 6, null, null, 0, false);
            } else if (action instanceof LogMessage a) {
                encodeAction(group, eventRequestId, 7, null, a.text(), 0, false);
            } else if (action instanceof RequestZones a) {
                encodeAction(group, eventRequestId, 8, a.requestId(), null, 0, false);
            }
        }
        endRecord(decided.limit());
    }

    /** Writes the strings that an action refers to, before the record of the action itself. */
    private void registerStrings(BalancerAction action) {
        if (action instanceof SendAttempt a) {
            encodeRequestId(a.requestId());
            stringId(a.endpointId());
        } else if (action instanceof CancelAttempt a) {
            encodeRequestId(a.requestId());
        } else if (action instanceof RejectRequest a) {
            encodeRequestId(a.requestId());
        } else if (action instanceof FailRequest a) {
            encodeRequestId(a.requestId());
        } else if (action instanceof RequestZones a) {
            encodeRequestId(a.requestId());
        } else if (action instanceof ScheduleTimer a) {
            stringId(a.token());
        } else if (action instanceof LogMessage a) {
            stringId(a.text());
        }
    }

    private void encodeAction(
            DecidedEncoder.ActionsEncoder group,
            String eventRequestId,
            int kind,
            String requestId,
            String string,
            long value,
            boolean late) {
        boolean sameRequest = requestId != null && requestId.equals(eventRequestId);
        group.kind((short) kind)
                .request(requestId == null || sameRequest ? 0 : encodeRequestId(requestId))
                .word(stringId(string))
                .span(value);
        group.flags()
                .clear()
                .sameRequest(sameRequest)
                .idIsWord(requestId != null && !sameRequest && isStringId(requestId))
                .late(late);
    }

    private static int checkedGroupSize(int count) {
        if (count > MAX_GROUP_ENTRIES) {
            throw new UnencodableEntryException(
                    "list of " + count + " entries exceeds the limit of " + MAX_GROUP_ENTRIES + " entries");
        }
        return count;
    }

    private static byte[] utf8(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_STRING_BYTES) {
            throw new UnencodableEntryException(
                    "string of " + bytes.length + " bytes exceeds the limit of " + MAX_STRING_BYTES + " bytes");
        }
        return bytes;
    }

    private long advanceClock(long timestamp) {
        long elapsed = timestamp - lastTimestamp;
        // The elapsed time is written as a uint32 in nanoseconds, which covers up to 4.29 s.
        if (elapsed < 0 || elapsed > 4_000_000_000L) {
            clockSet.wrapAndApplyHeader(buffer, beginRecord(false), header);
            clockSet.now(timestamp);
            endRecord(clockSet.limit());
            elapsed = 0;
        }
        lastTimestamp = timestamp;
        return elapsed;
    }

    /** Returns the string's number in the string table, after adding it if it is new; null has the number 0. */
    private int stringId(String string) {
        if (string == null) {
            return 0;
        }
        Integer existingId = stringIds.get(string);
        if (existingId != null) {
            return existingId;
        }
        if (stringIds.size() >= MAX_STRINGS) {
            throw new UnencodableEntryException("more than " + MAX_STRINGS + " strings since the last snapshot");
        }
        byte[] bytes = utf8(string);
        int newId = stringIds.size() + 1;
        text.wrapAndApplyHeader(buffer, beginRecord(bytes.length > MAX_SHORT_RECORD_TEXT_BYTES), header);
        text.word(newId).putText(bytes, 0, bytes.length);
        endRecord(text.limit());
        stringIds.put(string, newId);
        return newId;
    }

    private long encodeRequestId(String requestId) {
        return isStringId(requestId) ? stringId(requestId) : Long.parseUnsignedLong(requestId, 16);
    }

    /** Returns whether a request id must be written as a string: it is not 16 lower-case hexadecimal digits. */
    private static boolean isStringId(String requestId) {
        if (requestId.length() != 16) {
            return true;
        }
        for (int i = 0; i < 16; i++) {
            char c = requestId.charAt(i);
            if ((c < '0' || c > '9') && (c < 'a' || c > 'f')) {
                return true;
            }
        }
        return false;
    }
}

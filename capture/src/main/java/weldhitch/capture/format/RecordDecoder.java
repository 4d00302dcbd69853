package weldhitch.capture.format;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.agrona.concurrent.UnsafeBuffer;
import weldhitch.capture.sbe.ArrivalDecoder;
import weldhitch.capture.sbe.AttemptEndedDecoder;
import weldhitch.capture.sbe.BoundDecoder;
import weldhitch.capture.sbe.ClientGoneDecoder;
import weldhitch.capture.sbe.ClockSetDecoder;
import weldhitch.capture.sbe.DecidedDecoder;
import weldhitch.capture.sbe.DocumentDecoder;
import weldhitch.capture.sbe.FirstByteDecoder;
import weldhitch.capture.sbe.MembershipDecoder;
import weldhitch.capture.sbe.MessageHeaderDecoder;
import weldhitch.capture.sbe.NewRoutesDecoder;
import weldhitch.capture.sbe.ProbedDecoder;
import weldhitch.capture.sbe.TextDecoder;
import weldhitch.capture.sbe.TimerCameDecoder;
import weldhitch.capture.sbe.ZonedDecoder;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.LogMessage;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.action.SubscribeToEndpoints;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.HealthCheckCompleted;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ResponseStarted;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.event.ZonesAssigned;

/**
 * Decodes the entries of a segment's blocks, the inverse of {@link RecordEncoder}. The string table and the
 * time carry over from block to block. Owned by one {@link SegmentReader}; not thread-safe.
 */
final class RecordDecoder {
    private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();
    private static final EndpointUpdateKind[] UPDATE_KINDS = EndpointUpdateKind.values();
    private static final EndpointState[] ENDPOINT_STATES = EndpointState.values();

    private final Map<Integer, String> stringsById = new HashMap<>();
    private final UnsafeBuffer buffer = new UnsafeBuffer(0, 0);
    private final MessageHeaderDecoder header = new MessageHeaderDecoder();
    private final TextDecoder text = new TextDecoder();
    private final ClockSetDecoder clockSet = new ClockSetDecoder();
    private final DocumentDecoder document = new DocumentDecoder();
    private final ArrivalDecoder arrival = new ArrivalDecoder();
    private final FirstByteDecoder firstByte = new FirstByteDecoder();
    private final AttemptEndedDecoder attemptEnded = new AttemptEndedDecoder();
    private final ClientGoneDecoder clientGone = new ClientGoneDecoder();
    private final TimerCameDecoder timerCame = new TimerCameDecoder();
    private final MembershipDecoder membership = new MembershipDecoder();
    private final NewRoutesDecoder newRoutes = new NewRoutesDecoder();
    private final ProbedDecoder probed = new ProbedDecoder();
    private final BoundDecoder bound = new BoundDecoder();
    private final ZonedDecoder zoned = new ZonedDecoder();
    private final DecidedDecoder decided = new DecidedDecoder();
    private long lastTimestamp;
    /** An event whose actions, if any, are in the next {@code Decided} record; null if there is none. */
    private BalancerEvent pendingEvent;

    private List<BalancerAction> pendingActions = List.of();
    /** The allowed zones of the next arrival, or null for any. */
    private List<String> pendingZones;

    /** Discards the string table and the pending event, before a block that can be read on its own. */
    void reset() {
        stringsById.clear();
        pendingEvent = null;
        pendingZones = null;
    }

    /**
     * Decodes the records of a block.
     *
     * @param baseTime time that the first record's time is relative to, in nanoseconds
     * @throws CaptureFormatException if the content is invalid; the entries before the invalid one have been
     *     delivered
     */
    void decode(ByteBuffer content, long baseTime, Consumer<CaptureEntry> sink) throws CaptureFormatException {
        ByteBuffer view = content.duplicate().order(ByteOrder.LITTLE_ENDIAN);
        lastTimestamp = baseTime;
        try {
            while (view.remaining() >= 2) {
                int length = view.getShort() & 0xffff;
                length = length == RecordEncoder.EXTENDED_LENGTH_MARKER ? view.getInt() : length;
                if (length < MessageHeaderDecoder.ENCODED_LENGTH || length > view.remaining()) {
                    throw new CaptureFormatException(
                            "invalid record length: " + length + " bytes, but " + view.remaining() + " are left");
                }
                // The buffer is bounded to this record, so that no length within it can reach past its end.
                buffer.wrap(view, view.position(), length);
                decodeRecord(sink);
                view.position(view.position() + length);
            }
            if (view.hasRemaining()) {
                throw new CaptureFormatException("unexpected byte after the last record");
            }
            // An entry never spans two blocks, so the pending event has no more actions.
            emitPending(sink);
        } catch (IndexOutOfBoundsException
                | IllegalArgumentException
                | IllegalStateException
                | java.nio.BufferUnderflowException e) {
            throw new CaptureFormatException("invalid record: " + e.getMessage(), e);
        }
    }

    private void emitPending(Consumer<CaptureEntry> sink) {
        if (pendingEvent != null) {
            BalancerEvent completed = pendingEvent;
            pendingEvent = null;
            sink.accept(new CaptureEntry.EventRecord(lastTimestamp, completed, pendingActions));
        }
    }

    private void setPending(BalancerEvent newEvent) {
        pendingEvent = newEvent;
        pendingActions = List.of();
    }

    private void decodeRecord(Consumer<CaptureEntry> sink) throws CaptureFormatException {
        header.wrap(buffer, 0);
        int templateId = header.templateId();
        if (templateId == DecidedDecoder.TEMPLATE_ID) {
            decided.wrapAndApplyHeader(buffer, 0, header);
            pendingActions = decodeActions();
            emitPending(sink);
            return;
        }
        // The strings that actions use are written between the event and its actions, so they do not end the event.
        if (templateId == TextDecoder.TEMPLATE_ID) {
            text.wrapAndApplyHeader(buffer, 0, header);
            int stringId = text.word();
            stringsById.put(stringId, text.text());
            return;
        }
        emitPending(sink);
        switch (templateId) {
            case ClockSetDecoder.TEMPLATE_ID -> {
                clockSet.wrapAndApplyHeader(buffer, 0, header);
                lastTimestamp = clockSet.now();
            }
            case DocumentDecoder.TEMPLATE_ID -> {
                document.wrapAndApplyHeader(buffer, 0, header);
                lastTimestamp = document.now();
                if (document.kind() == 1) {
                    reset();
                    byte[] content = new byte[checkedLength(document.contentLength())];
                    document.getContent(content, 0, content.length);
                    sink.accept(DocumentCodec.decodeSnapshot(lastTimestamp, content));
                }
            }
            case ArrivalDecoder.TEMPLATE_ID -> {
                arrival.wrapAndApplyHeader(buffer, 0, header);
                lastTimestamp += arrival.since();
                String requestId = decodeRequestId(arrival.flags().idIsWord(), arrival.request());
                String target = arrival.target();
                setPending(new RequestArrived(
                        requestId,
                        stringOf(arrival.requestClass()),
                        lastTimestamp + arrival.deadlineAfter(),
                        stringOf(arrival.tenant()),
                        arrival.cost(),
                        arrival.flags().clientRetry(),
                        stringOf(arrival.method()),
                        arrival.hasTarget() == 0 ? null : target,
                        pendingZones));
                pendingZones = null;
            }
            case BoundDecoder.TEMPLATE_ID -> {
                bound.wrapAndApplyHeader(buffer, 0, header);
                pendingZones = decodeZones(bound.zones());
            }
            case ZonedDecoder.TEMPLATE_ID -> {
                zoned.wrapAndApplyHeader(buffer, 0, header);
                lastTimestamp += zoned.since();
                setPending(new ZonesAssigned(
                        decodeRequestId(zoned.flags().idIsWord(), zoned.request()), decodeZones(zoned.zones())));
            }
            case FirstByteDecoder.TEMPLATE_ID -> {
                firstByte.wrapAndApplyHeader(buffer, 0, header);
                lastTimestamp += firstByte.since();
                setPending(new ResponseStarted(
                        decodeRequestId(firstByte.flags().idIsWord(), firstByte.request()),
                        firstByte.attempt(),
                        stringOf(firstByte.server()),
                        firstByte.latency()));
            }
            case AttemptEndedDecoder.TEMPLATE_ID -> {
                attemptEnded.wrapAndApplyHeader(buffer, 0, header);
                lastTimestamp += attemptEnded.since();
                AttemptEndedDecoder.LoadDecoder load = attemptEnded.load();
                double[] loadReport = load.count() == 0 ? null : new double[checkedCount(load.count(), 8)];
                for (int i = 0; load.hasNext(); i++) {
                    loadReport[i] = load.next().figure();
                }
                setPending(new AttemptEnded(
                        decodeRequestId(attemptEnded.flags().idIsWord(), attemptEnded.request()),
                        attemptEnded.attempt(),
                        stringOf(attemptEnded.server()),
                        constantAt(OUTCOMES, attemptEnded.outcome()),
                        attemptEnded.latency(),
                        attemptEnded.flags().finished(),
                        loadReport));
            }
            case ClientGoneDecoder.TEMPLATE_ID -> {
                clientGone.wrapAndApplyHeader(buffer, 0, header);
                lastTimestamp += clientGone.since();
                setPending(new ClientDisconnected(
                        decodeRequestId(clientGone.flags().idIsWord(), clientGone.request())));
            }
            case TimerCameDecoder.TEMPLATE_ID -> {
                timerCame.wrapAndApplyHeader(buffer, 0, header);
                lastTimestamp += timerCame.since();
                setPending(new TimerFired(stringOf(timerCame.token())));
            }
            case MembershipDecoder.TEMPLATE_ID -> {
                membership.wrapAndApplyHeader(buffer, 0, header);
                lastTimestamp += membership.since();
                EndpointUpdateKind kind = constantAt(UPDATE_KINDS, membership.kind());
                List<EndpointEntry> entries = new ArrayList<>();
                for (MembershipDecoder.EntriesDecoder entry : membership.entries()) {
                    entries.add(new EndpointEntry(
                            stringOf(entry.server()),
                            stringOf(entry.zone()),
                            entry.cell(),
                            constantAt(ENDPOINT_STATES, entry.state()),
                            entry.weight(),
                            entry.startedAt()));
                }
                setPending(new EndpointsChanged(kind, entries));
            }
            case NewRoutesDecoder.TEMPLATE_ID -> {
                newRoutes.wrapAndApplyHeader(buffer, 0, header);
                lastTimestamp += newRoutes.since();
                byte[] content = new byte[checkedLength(newRoutes.routesLength())];
                newRoutes.getRoutes(content, 0, content.length);
                setPending(new RoutesChanged(DocumentCodec.routes(content)));
            }
            case ProbedDecoder.TEMPLATE_ID -> {
                probed.wrapAndApplyHeader(buffer, 0, header);
                lastTimestamp += probed.since();
                ProbedDecoder.LoadDecoder load = probed.load();
                double[] loadReport = load.count() == 0 ? null : new double[checkedCount(load.count(), 8)];
                for (int i = 0; load.hasNext(); i++) {
                    loadReport[i] = load.next().figure();
                }
                setPending(new HealthCheckCompleted(
                        stringOf(probed.server()),
                        constantAt(OUTCOMES, probed.outcome()),
                        probed.latency(),
                        loadReport));
            }
            default -> {
                // A record type of a later build is skipped: the record's length gives the start of the next one.
            }
        }
    }

    private List<BalancerAction> decodeActions() throws CaptureFormatException {
        List<BalancerAction> decoded = new ArrayList<>();
        for (DecidedDecoder.ActionsDecoder action : decided.actions()) {
            decoded.add(
                    switch (action.kind()) {
                        case 1 -> new SendAttempt(actionRequestId(action), stringOf(action.word()), action.span());
                        case 2 -> new CancelAttempt(actionRequestId(action), (int) action.span());
                        case 3 -> new RejectRequest(actionRequestId(action), action.span());
                        case 4 ->
                            new FailRequest(
                                    actionRequestId(action), action.flags().late());
                        case 5 -> new ScheduleTimer(action.span(), stringOf(action.word()));
                        case 6 -> new SubscribeToEndpoints();
                        case 7 -> new LogMessage(stringOf(action.word()));
                        case 8 -> new RequestZones(actionRequestId(action));
                        default ->
                            throw new CaptureFormatException(
                                    "invalid action kind " + action.kind() + ", expected 1 to 8");
                    });
        }
        return decoded;
    }

    private String actionRequestId(DecidedDecoder.ActionsDecoder action) throws CaptureFormatException {
        if (!action.flags().sameRequest()) {
            return decodeRequestId(action.flags().idIsWord(), action.request());
        }
        if (pendingEvent instanceof RequestArrived e) {
            return e.requestId();
        } else if (pendingEvent instanceof AttemptEnded e) {
            return e.requestId();
        } else if (pendingEvent instanceof ResponseStarted e) {
            return e.requestId();
        } else if (pendingEvent instanceof ClientDisconnected e) {
            return e.requestId();
        } else if (pendingEvent instanceof ZonesAssigned e) {
            return e.requestId();
        }
        throw new CaptureFormatException("an action refers to its event's request, but the event has no request");
    }

    private int checkedLength(int length) throws CaptureFormatException {
        if (length < 0 || length > buffer.capacity()) {
            throw new CaptureFormatException(
                    "invalid length: " + length + " bytes in a record of " + buffer.capacity());
        }
        return length;
    }

    private int checkedCount(int count, int elementBytes) throws CaptureFormatException {
        return checkedLength(count * elementBytes) / elementBytes;
    }

    private String decodeRequestId(boolean isStringId, long encodedId) throws CaptureFormatException {
        if (isStringId) {
            return stringOf(encodedId > 65_535 || encodedId < 0 ? -1 : (int) encodedId);
        }
        String digits = Long.toHexString(encodedId);
        return "0".repeat(16 - digits.length()) + digits;
    }

    private List<String> decodeZones(int stringId) throws CaptureFormatException {
        String encoded = stringOf(stringId);
        if (encoded == null) {
            throw new CaptureFormatException("list of zones is missing");
        }
        return ZoneListCodec.decode(encoded);
    }

    private String stringOf(int stringId) throws CaptureFormatException {
        if (stringId == 0) {
            return null;
        }
        String value = stringsById.get(stringId);
        if (value == null) {
            throw new CaptureFormatException("string " + stringId + " is not in the string table");
        }
        return value;
    }

    private static <T> T constantAt(T[] values, int ordinal) throws CaptureFormatException {
        if (ordinal >= values.length) {
            throw new CaptureFormatException(
                    "invalid enum value " + ordinal + ", expected 0 to " + (values.length - 1));
        }
        return values[ordinal];
    }
}

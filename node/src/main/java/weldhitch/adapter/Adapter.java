package weldhitch.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.LogMessage;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.action.SubscribeToEndpoints;
import weldhitch.decision.balancing.RatioBalancer;
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
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.settings.FlatSettingsParser;

/**
 * Reads batches of events, passes each event to the balancer of its instance and prints the actions that the
 * balancer returns. Makes no decisions itself; not thread-safe.
 */
final class Adapter {
    private static final Map<String, AttemptOutcome> OUTCOMES = Map.of(
            "Ok",
            AttemptOutcome.OK,
            "Failed",
            AttemptOutcome.ERROR,
            "QueueFull",
            AttemptOutcome.FULL,
            "TimedOut",
            AttemptOutcome.TIMED_OUT,
            "ConnectError",
            AttemptOutcome.CONNECT_FAILED,
            "ResetByPeer",
            AttemptOutcome.RESET,
            "Canceled",
            AttemptOutcome.CANCELLED,
            "Ignored",
            AttemptOutcome.NOT_SENT);
    private static final Map<String, EndpointUpdateKind> LIST_KINDS = Map.of(
            "changes",
            EndpointUpdateKind.DELTA,
            "all",
            EndpointUpdateKind.FULL,
            "remembered",
            EndpointUpdateKind.CACHED,
            "refused",
            EndpointUpdateKind.REJECTED);
    private static final Map<String, EndpointState> STATES =
            Map.of("U", EndpointState.READY, "L", EndpointState.DRAINING, "D", EndpointState.REMOVED);
    private static final int HINT_VALID = 1;
    private static final int CLIENT_RETRY = 2;

    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Integer, RatioBalancer> instances = new HashMap<>();
    private final Map<Integer, List<EndpointEntry>> endpointLists = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private long now;

    Adapter(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /** Processes batches until the input ends. */
    void run() throws IOException {
        for (LineFields fields = readLine(); fields != null; fields = readLine()) {
            if (!fields.name().equals("BATCH")) {
                throw fields.malformed("expected BATCH, found " + fields.name());
            }
            now = fields.nanos();
            String batchNumber = fields.text();
            processBatch();
            reply.append("YIELD ").append(batchNumber).append('\n');
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
            reply.setLength(0);
        }
    }

    private void processBatch() throws IOException {
        while (true) {
            LineFields fields = readLine();
            if (fields == null) {
                throw new MalformedLineException(lineNumber, "input ended inside a batch");
            }
            switch (fields.name()) {
                case "COMMIT" -> {
                    return;
                }
                case "POOL" -> readList(fields);
                case "BEGIN" -> createInstance(fields);
                case "RETIRE" -> instances.remove(fields.integer());
                default -> {
                    int instance = fields.integer();
                    BalancerEvent event = parseEvent(fields);
                    if (event != null) {
                        deliver(instance, event);
                    }
                }
            }
        }
    }

    private void createInstance(LineFields fields) {
        int instance = fields.integer();
        long seed = fields.longInteger();
        instances.remove(instance);
        try {
            instances.put(instance, new RatioBalancer(new FlatSettingsParser(pairs(fields)).settings(), seed));
        } catch (FlatSettingsParser.MalformedSettingException e) {
            throw fields.malformed(e.getMessage());
        } catch (IllegalArgumentException e) {
            reportFault(instance, e);
        }
    }

    private static Map<String, String> pairs(LineFields fields) {
        Map<String, String> pairs = new HashMap<>();
        while (fields.hasMore()) {
            String pair = fields.text();
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                throw fields.malformed("expected key=value, found " + pair);
            }
            pairs.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return pairs;
    }

    /** Returns the event of a line, or null if the balancer does not use this kind of event. */
    private BalancerEvent parseEvent(LineFields fields) {
        return switch (fields.name()) {
            case "INGRESS" -> {
                String request = fields.text();
                int options = fields.optionalInteger();
                double hint = fields.optionalNumber();
                fields.text();
                String requestClass = fields.text();
                long deadline = fields.nanos();
                String tenant = fields.optionalText();
                yield new RequestArrived(
                        request,
                        requestClass,
                        deadline,
                        "0".equals(tenant) ? null : tenant,
                        (options & HINT_VALID) != 0 ? hint : 0,
                        (options & CLIENT_RETRY) != 0);
            }
            case "ENDED" ->
                new AttemptEnded(
                        fields.text(),
                        fields.integer(),
                        fields.text(),
                        fields.enumValue(OUTCOMES),
                        fields.nanos(),
                        fields.bool(),
                        fields.numbers());
            case "FIRST_BYTE" -> new ResponseStarted(fields.text(), fields.integer(), fields.text(), fields.nanos());
            case "CLIENT_LEFT" -> new ClientDisconnected(fields.text());
            case "WAKE" -> new TimerFired(fields.text());
            case "HEALTH" ->
                new HealthCheckCompleted(fields.text(), fields.enumValue(OUTCOMES), fields.nanos(), fields.numbers());
            case "NOTE_FROM" -> null;
            case "ROSTER_CHANGE" -> {
                EndpointUpdateKind kind = fields.enumValue(LIST_KINDS);
                fields.text();
                List<EndpointEntry> entries = List.of();
                if (kind != EndpointUpdateKind.REJECTED) {
                    entries = endpointLists.get(fields.integer());
                    if (entries == null) {
                        throw fields.malformed("ROSTER_CHANGE refers to a list number that no POOL line has defined");
                    }
                }
                yield new EndpointsChanged(kind, entries);
            }
            default -> throw fields.malformed("unknown message " + fields.name());
        };
    }

    private void deliver(int instance, BalancerEvent event) {
        RatioBalancer balancer = instances.get(instance);
        if (balancer == null) {
            return;
        }
        int before = reply.length();
        try {
            for (BalancerAction action : balancer.handle(now, event)) {
                printAction(instance, action);
            }
        } catch (RuntimeException e) {
            reply.setLength(before);
            reportFault(instance, e);
        }
    }

    private void reportFault(int instance, RuntimeException e) {
        startLine("GIVE_IN", instance)
                .append(' ')
                .append(e.toString().replaceAll("\\s+", " "))
                .append('\n');
    }

    private void printAction(int instance, BalancerAction action) {
        if (action instanceof SendAttempt send) {
            startLine("SEND", instance).append(' ').append(send.requestId()).append(' ');
            appendSeconds(send.timeout()).append(' ').append(send.endpointId());
        } else if (action instanceof ScheduleTimer timer) {
            startLine("ARM", instance).append(' ');
            appendSeconds(timer.delay()).append(' ').append(timer.token());
        } else if (action instanceof CancelAttempt cancel) {
            startLine("ABORT_ATTEMPT", instance)
                    .append(' ')
                    .append(cancel.requestId())
                    .append(' ')
                    .append(cancel.attempt());
        } else if (action instanceof RejectRequest reject) {
            startLine("OVERLOAD_REPLY", instance)
                    .append(' ')
                    .append(reject.requestId())
                    .append(' ');
            appendSeconds(reject.retryAfter());
        } else if (action instanceof FailRequest fail) {
            startLine("FINISH_ERROR", instance).append(' ').append(fail.requestId());
        } else if (action instanceof SubscribeToEndpoints) {
            startLine("STREAM_CHANGES", instance).append(" 1");
        } else if (action instanceof LogMessage message) {
            startLine("NOTE_DOWN", instance).append(' ').append(message.text());
        }
        reply.append('\n');
    }

    private StringBuilder startLine(String name, int instance) {
        return reply.append(name).append(' ').append(instance);
    }

    /** Appends a duration in seconds, rounded up to the protocol's microseconds so that no timer fires early. */
    private StringBuilder appendSeconds(long nanos) {
        long micros = (nanos + 999) / 1000;
        String fraction = Long.toString(1_000_000 + micros % 1_000_000).substring(1);
        return reply.append(micros / 1_000_000).append('.').append(fraction);
    }

    private void readList(LineFields header) throws IOException {
        int listNumber = header.integer();
        int count = header.integer();
        List<EndpointEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            LineFields fields = readLine();
            if (fields == null || !fields.name().equals("M")) {
                throw new MalformedLineException(lineNumber, "expected an M line with a list entry");
            }
            String server = fields.text();
            String zone = fields.text();
            fields.text();
            long cell = fields.optionalInteger();
            entries.add(new EndpointEntry(
                    server, zone, cell, fields.enumValue(STATES), fields.optionalNumber(), fields.optionalNanos()));
        }
        endpointLists.put(listNumber, List.copyOf(entries));
    }

    private LineFields readLine() throws IOException {
        String line = in.readLine();
        if (line == null) {
            return null;
        }
        return new LineFields(line, ++lineNumber);
    }
}

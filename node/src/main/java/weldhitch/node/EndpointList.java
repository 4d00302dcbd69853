package weldhitch.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;

/**
 * An endpoint list in the discovery service's JSON format: the complete list, or the entries that changed.
 * Immutable.
 *
 * @param seq the list's sequence number
 * @param full whether it is the complete list
 */
record EndpointList(long seq, boolean full, List<ListedEndpoint> endpoints) {
    private static final int MAX_NESTING = 64;
    static final JsonFactory JSON_FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build())
            .build();
    private static final Map<String, EndpointState> STATES =
            Map.of("ready", EndpointState.READY, "draining", EndpointState.DRAINING, "gone", EndpointState.REMOVED);

    /**
     * An entry for the balancer with the endpoint's address, which is null if a removed entry has none. Immutable.
     */
    record ListedEndpoint(EndpointEntry entry, InetSocketAddress address) {}

    /** Returns the entries without addresses, in the form that the balancer uses. */
    List<EndpointEntry> entries() {
        return endpoints.stream().map(ListedEndpoint::entry).toList();
    }

    static EndpointList parse(byte[] json) throws IOException {
        try (JsonParser parser = JSON_FACTORY.createParser(json)) {
            parser.nextToken();
            EndpointList list = read(parser);
            if (parser.nextToken() != null) {
                throw new MalformedListException("expected one JSON document, found more");
            }
            return list;
        }
    }

    static EndpointList read(JsonParser parser) throws IOException {
        long seq = -1;
        boolean full = false;
        List<ListedEndpoint> endpoints = null;
        expectToken(parser, JsonToken.START_OBJECT);
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "seq" -> seq = parser.getLongValue();
                case "whole" -> full = parser.getBooleanValue();
                case "hosts" -> endpoints = endpoints(parser);
                default -> parser.skipChildren();
            }
        }
        if (seq < 0 || endpoints == null) {
            throw new MalformedListException("seq is missing or negative, or hosts is missing");
        }
        return new EndpointList(seq, full, List.copyOf(endpoints));
    }

    private static List<ListedEndpoint> endpoints(JsonParser parser) throws IOException {
        List<ListedEndpoint> endpoints = new ArrayList<>();
        expectToken(parser, JsonToken.START_ARRAY);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            endpoints.add(endpoint(parser));
        }
        return endpoints;
    }

    private static ListedEndpoint endpoint(JsonParser parser) throws IOException {
        String id = null;
        String dialAddress = null;
        String zone = "";
        long cell = 0;
        EndpointState state = null;
        double weight = 1;
        long startedAtMillis = 0;
        expectToken(parser, JsonToken.START_OBJECT);
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            boolean present = parser.nextToken() != JsonToken.VALUE_NULL;
            switch (present ? name : "") {
                case "host" -> id = parser.getText();
                case "dial" -> dialAddress = parser.getText();
                case "site" -> zone = parser.getText();
                case "block" -> cell = parser.getLongValue();
                case "health" -> state = STATES.get(parser.getText());
                case "share" -> weight = parser.getDoubleValue();
                case "born_ms" -> startedAtMillis = parser.getLongValue();
                default -> parser.skipChildren();
            }
        }
        if (id == null || id.isEmpty() || state == null || dialAddress == null && state != EndpointState.REMOVED) {
            throw new MalformedListException("host, dial or health of an entry is missing or invalid");
        }
        return new ListedEndpoint(
                new EndpointEntry(id, zone, cell, state, weight, Clock.ofMillis(startedAtMillis)),
                dialAddress == null ? null : dialAddress(dialAddress));
    }

    private static InetSocketAddress dialAddress(String text) throws MalformedListException {
        try {
            return address(text);
        } catch (MalformedAddressException e) {
            throw new MalformedListException(e.getMessage(), e);
        }
    }

    /**
     * Parses a numeric address and port. Names are not resolved, because there is no DNS and a lookup would block.
     */
    static InetSocketAddress address(String text) throws MalformedAddressException {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon)).replaceAll("^\\[|\\]$", "");
        byte[] addressBytes = NetUtil.createByteArrayFromIpAddressString(host);
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            port = -1;
        }
        if (addressBytes == null || port < 0 || port > 65535) {
            throw new MalformedAddressException(text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(addressBytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("the address has an illegal length: " + text, e);
        }
    }

    private static void expectToken(JsonParser parser, JsonToken token) throws IOException {
        if (parser.currentToken() != token) {
            throw new MalformedListException("expected " + token + ", found " + parser.currentToken());
        }
    }
}

package weldhitch.routeconfig;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses addresses in configuration files. Only numeric addresses are accepted; host names are not resolved, because a
 * look-up may block for many seconds. Stateless and thread-safe.
 */
public final class AddressParser {
    private static final Pattern ADDRESS_PATTERN = Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}):([0-9]{1,5})");
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    private AddressParser() {}

    /** Parses {@code HOST:PORT} with an IPv4 address and a port from 0 to 65535; returns null for anything else. */
    public static InetSocketAddress parse(String text) {
        Matcher matcher = ADDRESS_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        byte[] addressBytes = parseOctets(matcher.group(1));
        int port = Integer.parseInt(matcher.group(2));
        if (addressBytes == null || port > MAX_PORT) {
            return null;
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(addressBytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the bytes of an address; null if one is out of range. */
    private static byte[] parseOctets(String host) {
        String[] octets = host.split("\\.");
        byte[] bytes = new byte[octets.length];
        for (int i = 0; i < bytes.length; i++) {
            int octet = Integer.parseInt(octets[i]);
            if (octet > MAX_OCTET) {
                return null;
            }
            bytes[i] = (byte) octet;
        }
        return bytes;
    }
}

package weldhitch.routeconfig;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses addresses in configuration files. Only numeric addresses are accepted; host names are not resolved. Stateless
 * and thread-safe.
 */
public final class AddressParser {
    private static final Pattern ADDRESS_PATTERN = Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}):([0-9]{1,5})");

    private AddressParser() {}

    /** Parses {@code HOST:PORT} with an IPv4 address and a port from 0 to 65535; returns null for anything else. */
    public static InetSocketAddress parse(String text) {
        Matcher matcher = ADDRESS_PATTERN.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > 65535) {
            return null;
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(matcher.group(1)), Integer.parseInt(matcher.group(2)));
        } catch (UnknownHostException e) {
            return null;
        }
    }
}

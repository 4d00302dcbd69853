package weldhitch.control.certs;

import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Who a certificate of the fleet is for, by the one URI among its subject's alternative names (RFC 5280, section 4.2.1.6):
 * {@code weldhitch://agent/NAME} or {@code weldhitch://operator/ROLE/NAME}.
 *
 * @param role null for an agent
 */
public record Identity(Role role, String name) {
    /** What an operator may do; each may all that those before it may. */
    public enum Role {
        /** Look. */
        VIEWER,
        /** Give orders. */
        OPERATOR,
        /** Give orders past the guard, and change who takes part. */
        ADMIN;

        /** Whether this role may do what asks for the other. */
        public boolean covers(Role asked) {
            return compareTo(asked) >= 0;
        }
    }

    private static final int URI_NAME = 6;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern URI = Pattern.compile(
        "weldhitch://(?:agent|operator/(viewer|operator|admin))/([A-Za-z0-9._-]{1,64})");

    public Identity {
        if (!NAME.matcher(name).matches()) {
            throw new IllegalArgumentException("\"" + name + "\" is no name: use 1 to 64 letters, digits, dots, - and _");
        }
    }

    public boolean isAgent() {
        return role == null;
    }

    String uri() {
        return "weldhitch://" + (isAgent() ? "agent" : "operator/" + role.name().toLowerCase(Locale.ROOT)) + "/" + name;
    }

    /**
     * Reads it from a certificate whose chain was verified before.
     *
     * @throws IllegalArgumentException where the certificate names nobody of a fleet, or more than one
     */
    public static Identity of(X509Certificate certificate) {
        String found = null;
        try {
            if (certificate.getSubjectAlternativeNames() != null) {
                for (List<?> each : certificate.getSubjectAlternativeNames()) {
                    if (each.get(0).equals(URI_NAME)) {
                        if (found != null) {
                            throw new IllegalArgumentException("the certificate has more than one URI");
                        }
                        found = (String) each.get(1);
                    }
                }
            }
        } catch (CertificateParsingException e) {
            throw new IllegalArgumentException("the certificate's names cannot be read", e);
        }
        Matcher uri = URI.matcher(String.valueOf(found));
        if (!uri.matches()) {
            throw new IllegalArgumentException("the certificate names nobody of a fleet: " + found);
        }
        return new Identity(uri.group(1) == null ? null : Role.valueOf(uri.group(1).toUpperCase(Locale.ROOT)), uri.group(2));
    }
}

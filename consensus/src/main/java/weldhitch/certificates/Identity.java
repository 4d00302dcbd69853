package weldhitch.certificates;

import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The subject of a fleet certificate, encoded as the only URI among its subject alternative names (RFC 5280,
 * section 4.2.1.6): {@code weldhitch://agent/NAME} or {@code weldhitch://operator/ROLE/NAME}. Immutable.
 *
 * @param role the operator's role; null for an agent
 */
public record Identity(Role role, String name) {
    /** The permissions of an operator; each role includes those of all roles before it. */
    public enum Role {
        /** May only read. */
        VIEWER,
        /** May issue commands. */
        OPERATOR,
        /** May issue commands that override the capacity guard, and may change the membership. */
        ADMIN;

        /** Returns whether this role includes the permissions of the other one. */
        public boolean covers(Role required) {
            return compareTo(required) >= 0;
        }
    }

    private static final int SAN_TYPE_URI = 6;
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern URI_PATTERN =
            Pattern.compile("weldhitch://(?:agent|operator/(viewer|operator|admin))/([A-Za-z0-9._-]{1,64})");

    /** Validates the name. */
    public Identity {
        if (!NAME_PATTERN.matcher(name).matches()) {
            throw new IllegalArgumentException(
                    "\"" + name + "\" is not a valid name: use 1 to 64 letters, digits, dots, - and _");
        }
    }

    /** Returns whether this is an agent; otherwise it is an operator. */
    public boolean isAgent() {
        return role == null;
    }

    String uri() {
        return "weldhitch://" + (isAgent() ? "agent" : "operator/" + role.name().toLowerCase(Locale.ROOT)) + "/" + name;
    }

    /**
     * Extracts the identity from a certificate whose chain has already been verified.
     *
     * @throws IllegalArgumentException if the certificate does not contain exactly one identity of a fleet
     */
    public static Identity fromCertificate(X509Certificate certificate) {
        String uriName = null;
        try {
            if (certificate.getSubjectAlternativeNames() != null) {
                for (List<?> alternativeName : certificate.getSubjectAlternativeNames()) {
                    if (alternativeName.get(0).equals(SAN_TYPE_URI)) {
                        if (uriName != null) {
                            throw new IllegalArgumentException("the certificate contains more than one URI");
                        }
                        uriName = (String) alternativeName.get(1);
                    }
                }
            }
        } catch (CertificateParsingException e) {
            throw new IllegalArgumentException("the certificate's subject alternative names are malformed", e);
        }
        Matcher matcher = URI_PATTERN.matcher(String.valueOf(uriName));
        if (!matcher.matches()) {
            throw new IllegalArgumentException("the certificate contains no identity of a fleet; found URI " + uriName);
        }
        return new Identity(
                matcher.group(1) == null ? null : Role.valueOf(matcher.group(1).toUpperCase(Locale.ROOT)),
                matcher.group(2));
    }
}

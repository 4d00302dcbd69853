package weldhitch.client;

import weldhitch.client.policy.StatedDeduplicationScope;

/**
 * The headers by which a client asks which servers discard a repeat of its request, and by which a node answers.
 * Stateless.
 */
final class DeduplicationScopeHeader {
    /** Set to {@link #REQUEST_VALUE} by a client that asks. */
    static final String REQUEST_NAME = "X-Want-Deduplication-Scope";

    static final String REQUEST_VALUE = "1";
    static final String RESPONSE_NAME = "X-Deduplication-Scope";

    private static final String ALL = "all";

    private DeduplicationScopeHeader() {}

    /** Returns the stated scope; null if the header is absent (null). Any value but {@code all} is a limited scope. */
    static StatedDeduplicationScope parse(String headerValue) {
        if (headerValue == null) {
            return null;
        }
        return headerValue.trim().equals(ALL) ? StatedDeduplicationScope.ALL_SERVERS : StatedDeduplicationScope.LIMITED;
    }
}

package weldhitch.client;

import java.time.Duration;
import java.util.Objects;
import weldhitch.client.policy.Idempotency;

/**
 * A request of a caller. Immutable: the body is copied in and out.
 *
 * @param requestClass the class by which nodes prioritise it, and the first part of its path
 * @param idempotency whether it may be executed more than once
 * @param path what follows the class in the path; empty or beginning with a slash
 * @param tenant on whose behalf; null for none
 * @param idempotencyKey the idempotency key; null if the request has none
 * @param body 64 KiB at most; empty for an idempotent request
 * @param timeout how long the caller waits, more than zero; null for the default of the client
 */
public record Request(
        String requestClass,
        Idempotency idempotency,
        String path,
        String tenant,
        String idempotencyKey,
        byte[] body,
        Duration timeout) {
    /** The largest body that nodes accept, in bytes. */
    public static final int MAX_BODY_BYTES = 64 << 10;

    /**
     * Checks all components.
     *
     * @throws IllegalArgumentException naming the first that is out of range
     */
    public Request {
        requireToken("requestClass", requestClass);
        Objects.requireNonNull(idempotency, "effect");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(body, "body");
        require(
                path.isEmpty() || path.startsWith("/") && path.chars().allMatch(c -> c > ' ' && c < 127),
                "path: " + path + ", expected nothing, or a slash and printable characters without spaces");
        require(
                idempotency == Idempotency.IDEMPOTENCY_KEY == (idempotencyKey != null),
                "key: expected where the effect is KEYED, and nowhere else");
        if (tenant != null) {
            requireToken("tenant", tenant);
        }
        if (idempotencyKey != null) {
            requireToken("key", idempotencyKey);
        }
        require(
                body.length <= MAX_BODY_BYTES,
                "body: " + body.length + " bytes, expected " + MAX_BODY_BYTES + " at most");
        require(idempotency != Idempotency.IDEMPOTENT || body.length == 0, "body: expected none for a safe request");
        require(
                timeout == null || !timeout.isNegative() && !timeout.isZero(),
                "deadline: " + timeout + ", expected more than nothing");
        body = body.clone();
    }

    /** An idempotent request, sent with GET. */
    public static Request idempotent(String requestClass) {
        return new Request(requestClass, Idempotency.IDEMPOTENT, "", null, null, new byte[0], null);
    }

    /** A request that must never be executed twice. */
    public static Request nonIdempotent(String requestClass, byte[] body) {
        return new Request(requestClass, Idempotency.NON_IDEMPOTENT, "", null, null, body, null);
    }

    /** A request whose repeats servers discard by its idempotency key. */
    public static Request withIdempotencyKey(String requestClass, String idempotencyKey, byte[] body) {
        return new Request(requestClass, Idempotency.IDEMPOTENCY_KEY, "", null, idempotencyKey, body, null);
    }

    /** A copy with this timeout. */
    public Request withTimeout(Duration timeout) {
        return new Request(requestClass, idempotency, path, tenant, idempotencyKey, body, timeout);
    }

    /** A copy on behalf of this tenant. */
    public Request withTenant(String tenant) {
        return new Request(requestClass, idempotency, path, tenant, idempotencyKey, body, timeout);
    }

    /** A copy with this path after the class. */
    public Request withPath(String path) {
        return new Request(requestClass, idempotency, path, tenant, idempotencyKey, body, timeout);
    }

    @Override
    public byte[] body() {
        return body.clone();
    }

    /** Requires a value fit for a header or the path: no spaces, no line breaks. */
    private static void requireToken(String name, String value) {
        require(
                value != null && !value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c < 127),
                name + ": " + value + ", expected printable characters without spaces");
    }

    private static void require(boolean valid, String message) {
        if (!valid) {
            throw new IllegalArgumentException(message);
        }
    }
}

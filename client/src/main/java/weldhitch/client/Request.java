package weldhitch.client;

import java.time.Duration;
import java.util.Objects;
import weldhitch.client.policy.Idempotency;

/**
 * A request that a client sends to a node. Immutable: the body is copied on construction and on access.
 *
 * @param requestClass the request class, by which nodes prioritise the request; also the first segment of the path
 * @param idempotency whether the request may be executed more than once
 * @param path the rest of the path after the class; empty or beginning with a slash
 * @param tenant the tenant on whose behalf the request is sent; null for none
 * @param idempotencyKey the idempotency key; null if the request has none
 * @param body the body, 64 KiB at most; empty for an idempotent request
 * @param timeout how long the caller waits, more than zero; null for the default timeout of the client
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
     * Validates all components.
     *
     * @throws IllegalArgumentException naming the first component that is out of range
     */
    public Request {
        requireToken("requestClass", requestClass);
        Objects.requireNonNull(idempotency, "idempotency");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(body, "body");
        require(
                path.isEmpty() || path.startsWith("/") && path.chars().allMatch(c -> c > ' ' && c < 127),
                "path: " + path + ", expected an empty path, or a slash and printable characters without spaces");
        require(
                idempotency == Idempotency.IDEMPOTENCY_KEY == (idempotencyKey != null),
                "idempotencyKey: expected for a request with idempotency IDEMPOTENCY_KEY, and for no other");
        if (tenant != null) {
            requireToken("tenant", tenant);
        }
        if (idempotencyKey != null) {
            requireToken("idempotencyKey", idempotencyKey);
        }
        require(
                body.length <= MAX_BODY_BYTES,
                "body: " + body.length + " bytes, expected " + MAX_BODY_BYTES + " at most");
        require(
                idempotency != Idempotency.IDEMPOTENT || body.length == 0,
                "body: expected none for an idempotent request");
        require(
                timeout == null || !timeout.isNegative() && !timeout.isZero(),
                "timeout: " + timeout + ", expected more than zero");
        body = body.clone();
    }

    /** Returns an idempotent request, sent with GET. */
    public static Request idempotent(String requestClass) {
        return new Request(requestClass, Idempotency.IDEMPOTENT, "", null, null, new byte[0], null);
    }

    /** Returns a request that must never be executed twice. */
    public static Request nonIdempotent(String requestClass, byte[] body) {
        return new Request(requestClass, Idempotency.NON_IDEMPOTENT, "", null, null, body, null);
    }

    /** Returns a request with an idempotency key, by which servers discard repeats. */
    public static Request withIdempotencyKey(String requestClass, String idempotencyKey, byte[] body) {
        return new Request(requestClass, Idempotency.IDEMPOTENCY_KEY, "", null, idempotencyKey, body, null);
    }

    /** Returns a copy with this timeout. */
    public Request withTimeout(Duration timeout) {
        return new Request(requestClass, idempotency, path, tenant, idempotencyKey, body, timeout);
    }

    /** Returns a copy that is sent on behalf of this tenant. */
    public Request withTenant(String tenant) {
        return new Request(requestClass, idempotency, path, tenant, idempotencyKey, body, timeout);
    }

    /** Returns a copy with this path after the class. */
    public Request withPath(String path) {
        return new Request(requestClass, idempotency, path, tenant, idempotencyKey, body, timeout);
    }

    @Override
    public byte[] body() {
        return body.clone();
    }

    /** Requires a value that fits into a header or a path: printable ASCII without spaces or line breaks. */
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

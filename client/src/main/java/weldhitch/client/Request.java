package weldhitch.client;

import java.time.Duration;
import java.util.Objects;
import weldhitch.client.policy.Effect;

/**
 * What a caller asks for. Immutable.
 *
 * @param requestClass the class by which nodes weigh it, and the first part of its path
 * @param path what follows the class in the path, empty or beginning with a slash
 * @param tenant on whose behalf, or null
 * @param key what servers drop repeats by; null where the request has none
 * @param body 64 KiB at most; nothing for a safe request
 * @param deadline how long the caller waits, more than nothing; null for the client's usual one
 */
public record Request(String requestClass, Effect effect, String path, String tenant, String key, byte[] body, Duration deadline) {
    /** The largest body that nodes take, bytes. */
    public static final int MOST_BODY = 64 << 10;

    /** @throws IllegalArgumentException naming what is out of range */
    public Request {
        word("requestClass", requestClass);
        Objects.requireNonNull(effect, "effect");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(body, "body");
        require(path.isEmpty() || path.startsWith("/") && path.chars().allMatch(c -> c > ' ' && c < 127), "path: " + path
            + ", expected nothing, or a slash and printable characters without spaces");
        require(effect == Effect.KEYED == (key != null), "key: expected where the effect is KEYED, and nowhere else");
        if (tenant != null) {
            word("tenant", tenant);
        }
        if (key != null) {
            word("key", key);
        }
        require(body.length <= MOST_BODY, "body: " + body.length + " bytes, expected " + MOST_BODY + " at most");
        require(effect != Effect.SAFE || body.length == 0, "body: expected none for a safe request");
        require(deadline == null || !deadline.isNegative() && !deadline.isZero(), "deadline: " + deadline + ", expected more than nothing");
        body = body.clone();
    }

    /** One that may run any number of times. */
    public static Request safe(String requestClass) {
        return new Request(requestClass, Effect.SAFE, "", null, null, new byte[0], null);
    }

    /** One that must never run twice. */
    public static Request unsafe(String requestClass, byte[] body) {
        return new Request(requestClass, Effect.UNSAFE, "", null, null, body, null);
    }

    /** One of which servers drop repeats by its key. */
    public static Request keyed(String requestClass, String key, byte[] body) {
        return new Request(requestClass, Effect.KEYED, "", null, key, body, null);
    }

    public Request within(Duration time) {
        return new Request(requestClass, effect, path, tenant, key, body, time);
    }

    public Request of(String customer) {
        return new Request(requestClass, effect, path, customer, key, body, deadline);
    }

    public Request at(String rest) {
        return new Request(requestClass, effect, rest, tenant, key, body, deadline);
    }

    @Override
    public byte[] body() {
        return body.clone();
    }

    /** What goes into a header or the path: no spaces, nothing that ends a line. */
    private static void word(String name, String value) {
        require(value != null && !value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c < 127), name + ": " + value
            + ", expected printable characters without spaces");
    }

    private static void require(boolean sound, String what) {
        if (!sound) {
            throw new IllegalArgumentException(what);
        }
    }
}

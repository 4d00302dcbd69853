package weldhitch.client;

import java.time.Duration;
import weldhitch.client.policy.CallResult;

/**
 * Thrown when a call ends without a successful response; the subtype states whether repeating the call is safe. Has
 * no stack trace.
 */
public abstract sealed class CallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int attempts;

    private CallException(String message, int attempts) {
        super(message, null, false, false);
        this.attempts = attempts;
    }

    /** Returns the number of attempts that were sent; 0 if there was none. */
    public int attempts() {
        return attempts;
    }

    /** Thrown when the request was not executed, so that repeating the call is safe. */
    public static final class NotExecuted extends CallException {
        private static final long serialVersionUID = 1L;
        private final CallResult reason;
        private final Duration retryAfter;

        NotExecuted(CallResult reason, int attempts, Duration retryAfter) {
            super(
                    "the request was not executed: "
                            + reason.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '),
                    attempts);
            this.reason = reason;
            this.retryAfter = retryAfter;
        }

        /** Returns why the request was not executed. */
        public CallResult reason() {
            return reason;
        }

        /** Returns how long to wait before the next call; zero if there is no advice. */
        public Duration retryAfter() {
            return retryAfter;
        }
    }

    /**
     * Thrown when an idempotent request got no successful response. Repeating the call is safe, but nodes have already
     * spent work on it.
     */
    public static final class Failed extends CallException {
        private static final long serialVersionUID = 1L;

        Failed(int attempts) {
            super("no successful response", attempts);
        }
    }

    /**
     * Thrown when the request may have been executed, or may still be executed. This is not a failure, and the call
     * must never be repeated automatically: ask the service, or a person, whether the request was executed.
     */
    public static final class OutcomeUnknown extends CallException {
        private static final long serialVersionUID = 1L;

        OutcomeUnknown(int attempts) {
            super("the request may have been executed: its outcome is unknown", attempts);
        }
    }
}

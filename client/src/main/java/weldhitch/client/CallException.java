package weldhitch.client;

import java.time.Duration;
import weldhitch.client.policy.CallResult;

/** A call that ended without a response. Its subtype says what the caller may do. Has no stack trace. */
public abstract sealed class CallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int attempts;

    private CallException(String message, int attempts) {
        super(message, null, false, false);
        this.attempts = attempts;
    }

    /** How many attempts were sent; 0 for none. */
    public int attempts() {
        return attempts;
    }

    /** The request was not executed: a later call does no harm. */
    public static final class NotExecuted extends CallException {
        private static final long serialVersionUID = 1L;
        private final CallResult reason;
        private final Duration retryAfter;

        NotExecuted(CallResult reason, int attempts, Duration retryAfter) {
            super(
                    "it never ran: "
                            + reason.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '),
                    attempts);
            this.reason = reason;
            this.retryAfter = retryAfter;
        }

        /** Why it was not executed. */
        public CallResult reason() {
            return reason;
        }

        /** How long to wait before the next call; zero if there is no advice. */
        public Duration retryAfter() {
            return retryAfter;
        }
    }

    /** An idempotent request without a response: repeating it does no harm, but has cost nodes work already. */
    public static final class Failed extends CallException {
        private static final long serialVersionUID = 1L;

        Failed(int attempts) {
            super("no answer", attempts);
        }
    }

    /**
     * The request may have been executed, or may be yet: not a failure, and never to be repeated automatically.
     * Ask the service what became of it, or a person.
     */
    public static final class OutcomeUnknown extends CallException {
        private static final long serialVersionUID = 1L;

        OutcomeUnknown(int attempts) {
            super("it may have run: its outcome is unknown", attempts);
        }
    }
}

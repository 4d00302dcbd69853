package weldhitch.client;

import java.time.Duration;
import weldhitch.client.policy.Verdict;

/** A call without an answer. Which of its kinds it is says what the caller may do. */
public abstract sealed class CallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int tries;

    private CallException(String what, int tries) {
        super(what, null, false, false);
        this.tries = tries;
    }

    /** How often it was sent. */
    public int tries() {
        return tries;
    }

    /** It never ran: asking again, later, does no harm. */
    public static final class NotRun extends CallException {
        private static final long serialVersionUID = 1L;
        private final Verdict why;
        private final Duration retryAfter;

        NotRun(Verdict why, int tries, Duration retryAfter) {
            super("it never ran: " + why.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '), tries);
            this.why = why;
            this.retryAfter = retryAfter;
        }

        public Verdict why() {
            return why;
        }

        /** How long to leave nodes in peace, nothing where nobody said. */
        public Duration retryAfter() {
            return retryAfter;
        }
    }

    /** A safe request that was not answered: asking again does no harm, but nodes were asked already. */
    public static final class Failed extends CallException {
        private static final long serialVersionUID = 1L;

        Failed(int tries) {
            super("no answer", tries);
        }
    }

    /**
     * It may have run, and may yet: no failure, and never to be sent again by itself. Ask the service what became of it,
     * or a person.
     */
    public static final class OutcomeUnknown extends CallException {
        private static final long serialVersionUID = 1L;

        OutcomeUnknown(int tries) {
            super("it may have run: its outcome is unknown", tries);
        }
    }
}

package weldhitch.client.policy;

/** One call until its verdict. Times are nanoseconds. */
final class Call {
    final long id;
    final String requestClass;
    final Effect effect;
    final long deadline;
    int tries;
    /** Where its try is out; null while none is. */
    NodeState at;
    /** Where its last try ended; null before the first has. */
    NodeState before;
    long sentAt;
    /** When the first try went out that may have run; none while 0 and {@code mayHaveRun} is false. */
    long mayHaveRunSince;
    boolean mayHaveRun;
    /** How the last try ended; null before the first has. */
    Outcome last;
    /** Waits for this moment, or for room where it is 0. */
    long wakeAt;
    long wait;
    /** Whether the try at hand has been paid for. */
    boolean paid;
    boolean sentAgain;

    Call(long id, String requestClass, Effect effect, long deadline) {
        this.id = id;
        this.requestClass = requestClass;
        this.effect = effect;
        this.deadline = deadline;
    }
}

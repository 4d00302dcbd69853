package weldhitch.node;

/** Who asked: is given one final answer, whole or as a stream. */
interface Caller extends StreamSink {
    void served(ServerAnswer answer);

    /** Not run, a retry does no harm; {@code retryAfter} in nanoseconds, 0 for no advice. */
    void refused(long retryAfter);

    /** No word on its effect; {@code late}: its time is over. */
    void failed(boolean late);
}

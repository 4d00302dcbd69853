package weldhitch.consensus;

/** A reply of an acceptor, which contains the acceptor's name. Immutable. */
public sealed interface Reply {
    /** Returns the name of the acceptor that replies. */
    String acceptor();

    /** Phase 1b: a promise, with the ballot and value accepted earlier in this generation, or nulls. */
    record Promise(String acceptor, Ballot ballot, Ballot acceptedBallot, CommittedState accepted) implements Reply {}

    /** Phase 2b: the value was accepted. */
    record Accepted(String acceptor, Ballot ballot) implements Reply {}

    /** A higher ballot has already been promised. */
    record Preempted(String acceptor, Ballot ballot, Ballot promised) implements Reply {}

    /** The generation or a later one is committed; {@code state} is the last committed state known to this acceptor. */
    record AlreadyCommitted(String acceptor, CommittedState state) implements Reply {}

    /** This acceptor does not vote, because it may have lost a promise. */
    record Abstained(String acceptor) implements Reply {}

    /** The generation is over, and this acceptor does not know what was committed in it. */
    record Superseded(String acceptor, long generation) implements Reply {}
}

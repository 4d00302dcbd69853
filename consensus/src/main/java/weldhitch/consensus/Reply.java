package weldhitch.consensus;

/** The replies of acceptors. Immutable. Each names the acceptor that sent it. */
public sealed interface Reply {
    /** Returns the name of the acceptor that replies. */
    String acceptor();

    /** Phase 1b: a promise, with the ballot and value accepted before in this generation, or nulls. */
    record Promise(String acceptor, Ballot ballot, Ballot acceptedBallot, CommittedState accepted) implements Reply {}

    /** Phase 2b: the value was accepted. */
    record Accepted(String acceptor, Ballot ballot) implements Reply {}

    /** A higher ballot was promised already. */
    record Preempted(String acceptor, Ballot ballot, Ballot promised) implements Reply {}

    /** The generation, or a later one, is committed: the last state that this acceptor knows. */
    record AlreadyCommitted(String acceptor, CommittedState state) implements Reply {}

    /** This acceptor may have lost a promise, and does not vote. */
    record Abstained(String acceptor) implements Reply {}

    /** The generation is over, and this acceptor does not know what was committed in it. */
    record Superseded(String acceptor, long generation) implements Reply {}
}

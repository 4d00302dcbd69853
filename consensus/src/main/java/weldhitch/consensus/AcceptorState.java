package weldhitch.consensus;

/**
 * The state of an acceptor, which must survive a crash. Immutable; it is written to the state log before a reply is
 * sent.
 *
 * @param committed the last state known to be committed
 * @param generation the generation that the promise and the accepted value belong to
 * @param promised the highest ballot promised, null for none
 * @param acceptedBallot the ballot of the accepted value, null for none
 * @param accepted the accepted value, null for none
 */
public record AcceptorState(
        CommittedState committed, long generation, Ballot promised, Ballot acceptedBallot, CommittedState accepted) {
    /** The state of an acceptor that has never received a message. */
    public static final AcceptorState INITIAL = new AcceptorState(CommittedState.INITIAL, 1, null, null, null);

    /** Returns the state at the start of a later generation: nothing is promised or accepted in it. */
    AcceptorState atGeneration(long laterGeneration) {
        return new AcceptorState(committed, laterGeneration, null, null, null);
    }

    /** Returns the state after a promise to accept no ballot below {@code ballot}. */
    AcceptorState withPromise(Ballot ballot) {
        return new AcceptorState(committed, generation, ballot, acceptedBallot, accepted);
    }

    /** Returns the state after {@code value} is accepted, which includes a promise of its ballot. */
    AcceptorState withAccepted(Ballot ballot, CommittedState value) {
        return new AcceptorState(committed, generation, ballot, ballot, value);
    }

    /** Returns the state after {@code learned} is committed, which closes all generations up to its own. */
    AcceptorState withCommitted(CommittedState learned) {
        return learned.generation() >= generation
                ? new AcceptorState(learned, learned.generation() + 1, null, null, null)
                : new AcceptorState(learned, generation, promised, acceptedBallot, accepted);
    }
}

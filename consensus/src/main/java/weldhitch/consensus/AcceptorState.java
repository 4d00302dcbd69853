package weldhitch.consensus;

/**
 * The state that must survive a crash. Immutable; written to the state log before a reply is sent.
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
}

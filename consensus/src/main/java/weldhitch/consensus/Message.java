package weldhitch.consensus;

/** A Paxos message that a proposer sends to acceptors, or an acceptor to another acceptor. Immutable. */
public sealed interface Message {
    /** Returns the generation that the message belongs to. */
    long generation();

    /** Phase 1a: requests a promise to accept no lower ballot. */
    record Prepare(long generation, Ballot ballot) implements Message {}

    /** Phase 2a: requests the acceptance of this state. */
    record Accept(Ballot ballot, CommittedState state) implements Message {
        @Override
        public long generation() {
            return state.generation();
        }
    }

    /** Announces that this state is committed. */
    record Learn(CommittedState state) implements Message {
        @Override
        public long generation() {
            return state.generation();
        }
    }
}

package weldhitch.consensus;

/** The Paxos messages that proposers send to acceptors, and acceptors to each other. Immutable. */
public sealed interface Message {
    /** The generation that the message belongs to. */
    long generation();

    /** Phase 1a: requests the promise to accept no lower ballot. */
    record Prepare(long generation, Ballot ballot) implements Message {}

    /** Phase 2a: requests to accept this state. */
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

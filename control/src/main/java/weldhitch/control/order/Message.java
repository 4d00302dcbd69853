package weldhitch.control.order;

/** What proposers tell agents, and agents each other. */
public sealed interface Message {
    /** The generation that it is about. */
    long generation();

    /** Asks for the promise to take no lower ballot. */
    record Prepare(long generation, Ballot ballot) implements Message {
    }

    /** Asks to take this epoch. */
    record Propose(Ballot ballot, Epoch epoch) implements Message {
        @Override
        public long generation() {
            return epoch.generation();
        }
    }

    /** This epoch is decided. */
    record Decide(Epoch epoch) implements Message {
        @Override
        public long generation() {
            return epoch.generation();
        }
    }
}

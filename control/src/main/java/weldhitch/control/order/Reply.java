package weldhitch.control.order;

/** What an agent answers. */
public sealed interface Reply {
    String agent();

    /** Promised; with what was taken before in this generation, or nulls. */
    record Promise(String agent, Ballot ballot, Ballot takenBallot, Epoch taken) implements Reply {
    }

    /** Taken. */
    record Taken(String agent, Ballot ballot) implements Reply {
    }

    /** A higher ballot was promised. */
    record Outbid(String agent, Ballot ballot, Ballot promised) implements Reply {
    }

    /** The generation is decided, or a later one: the last that this agent knows. */
    record Decided(String agent, Epoch epoch) implements Reply {
    }

    /** This agent may have forgotten what it promised, and takes no part. */
    record Abstains(String agent) implements Reply {
    }

    /** The generation is past, and this agent does not know what was decided in it. */
    record Passed(String agent, long generation) implements Reply {
    }
}

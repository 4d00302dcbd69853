package weldhitch.consensus.durable;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import weldhitch.consensus.AcceptorState;
import weldhitch.consensus.Ballot;
import weldhitch.consensus.Command;
import weldhitch.consensus.CommittedState;
import weldhitch.consensus.Message;
import weldhitch.consensus.Reply;

/**
 * The JSON names of the consensus types, in the state log and in messages between processes. The names are fixed, even
 * where the record component has another name, because other versions read and write them. The consensus types
 * themselves do not depend on Jackson. Stateless and thread-safe.
 */
public final class ConsensusJson {
    private ConsensusJson() {}

    /** Registers the fixed names with a mapper and returns the mapper. */
    public static ObjectMapper register(ObjectMapper mapper) {
        mapper.addMixIn(AcceptorState.class, AcceptorStateNames.class);
        mapper.addMixIn(CommittedState.class, CommittedStateNames.class);
        mapper.addMixIn(Command.class, CommandNames.class);
        mapper.addMixIn(Message.Accept.class, AcceptNames.class);
        mapper.addMixIn(Message.Learn.class, LearnNames.class);
        mapper.addMixIn(Reply.Promise.class, PromiseNames.class);
        mapper.addMixIn(Reply.Accepted.class, AcceptedNames.class);
        mapper.addMixIn(Reply.Preempted.class, PreemptedNames.class);
        mapper.addMixIn(Reply.AlreadyCommitted.class, AlreadyCommittedNames.class);
        mapper.addMixIn(Reply.Abstained.class, AbstainedNames.class);
        mapper.addMixIn(Reply.Superseded.class, SupersededNames.class);
        mapper.addMixIn(Command.Action.class, ActionNames.class);
        return mapper;
    }

    private interface AcceptorStateNames {
        @JsonProperty("decided")
        CommittedState committed();

        @JsonProperty("takenBallot")
        Ballot acceptedBallot();

        @JsonProperty("taken")
        CommittedState accepted();
    }

    private interface CommittedStateNames {
        @JsonProperty("order")
        Command command();

        @JsonProperty("standing")
        Map<String, Command> activeCommands();
    }

    private interface CommandNames {
        @JsonProperty("terms")
        Map<String, String> parameters();
    }

    private interface AcceptNames {
        @JsonProperty("epoch")
        CommittedState state();
    }

    private interface LearnNames {
        @JsonProperty("epoch")
        CommittedState state();
    }

    private interface PromiseNames {
        @JsonProperty("agent")
        String acceptor();

        @JsonProperty("takenBallot")
        Ballot acceptedBallot();

        @JsonProperty("taken")
        CommittedState accepted();
    }

    private interface AcceptedNames {
        @JsonProperty("agent")
        String acceptor();
    }

    private interface PreemptedNames {
        @JsonProperty("agent")
        String acceptor();
    }

    private interface AlreadyCommittedNames {
        @JsonProperty("agent")
        String acceptor();

        @JsonProperty("epoch")
        CommittedState state();
    }

    private interface AbstainedNames {
        @JsonProperty("agent")
        String acceptor();
    }

    private interface SupersededNames {
        @JsonProperty("agent")
        String acceptor();
    }

    private enum ActionNames {
        @JsonProperty("NOTHING")
        NO_OP,
        @JsonProperty("ROSTER")
        MEMBERSHIP,
        @JsonProperty("SETTLE")
        FINALIZE
    }
}

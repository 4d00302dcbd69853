package weldhitch.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the transitions of an acceptor's state. */
class AcceptorStateTest {
    private static final Ballot LOW = new Ballot(1, "a");
    private static final Ballot HIGH = new Ballot(2, "b");

    private static CommittedState stateOf(String commandId, CommittedState before) {
        return before.apply(new Command(commandId, "a", "", Command.Action.NO_OP, Set.of(), 0));
    }

    private final CommittedState first = stateOf("x", CommittedState.INITIAL);
    private final AcceptorState accepted = AcceptorState.INITIAL.withAccepted(LOW, first);

    @Test
    void promiseKeepsTheAcceptedValue() {
        assertEquals(new AcceptorState(CommittedState.INITIAL, 1, HIGH, LOW, first), accepted.withPromise(HIGH));
    }

    @Test
    void laterGenerationDropsPromiseAndValue() {
        assertEquals(new AcceptorState(CommittedState.INITIAL, 4, null, null, null), accepted.atGeneration(4));
    }

    @Test
    void learningAnEarlierGenerationKeepsTheOpenProposal() {
        AcceptorState ahead = accepted.atGeneration(2).withAccepted(HIGH, stateOf("y", first));
        AcceptorState learned = ahead.withCommitted(first);
        assertEquals(first, learned.committed());
        assertEquals(HIGH, learned.acceptedBallot());
        AcceptorState closed = accepted.withCommitted(first);
        assertEquals(2, closed.generation());
        assertNull(closed.accepted());
    }
}

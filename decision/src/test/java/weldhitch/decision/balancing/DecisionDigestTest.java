package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.LogMessage;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.action.SubscribeToEndpoints;

/** Checks the encoding of each action, from which the digests in {@code digests.txt} were computed. */
class DecisionDigestTest {
    private static final List<BalancerAction> ONE_OF_EACH = List.of(
            new SendAttempt("r1", "s1", 5),
            new CancelAttempt("r1", 2),
            new RejectRequest("r2", 7),
            new FailRequest("r3", true),
            new ScheduleTimer(9, "t"),
            new RequestZones("r4"),
            new LogMessage("text"),
            new SubscribeToEndpoints());

    @Test
    void eachActionHasItsRecordedForm() {
        assertEquals(
                List.of(
                        "Send[request=r1, server=s1, timeout=5]",
                        "Cancel[request=r1, attempt=2]",
                        "Refuse[request=r2, retryAfter=7]",
                        "Fail[request=r3, late=true]",
                        "SetTimer[after=9, token=t]",
                        "AskZones[request=r4]",
                        "Report[text=text]",
                        "Subscribe[]"),
                ONE_OF_EACH.stream().map(DecisionDigest::encode).toList());
    }

    @Test
    void everyActionTypeHasARecordedForm() {
        assertEquals(
                Arrays.stream(BalancerAction.class.getPermittedSubclasses()).collect(Collectors.toSet()),
                ONE_OF_EACH.stream().map(Object::getClass).collect(Collectors.toSet()));
    }
}

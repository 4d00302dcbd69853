package weldhitch.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import weldhitch.decision.Balancing.Action;
import weldhitch.decision.Balancing.AskZones;
import weldhitch.decision.Balancing.Cancel;
import weldhitch.decision.Balancing.Fail;
import weldhitch.decision.Balancing.Refuse;
import weldhitch.decision.Balancing.Report;
import weldhitch.decision.Balancing.Send;
import weldhitch.decision.Balancing.SetTimer;
import weldhitch.decision.Balancing.Subscribe;

/** Checks the encoding of each action, from which the digests in {@code digests.txt} were computed. */
class DigestTest {
    private static final List<Action> ONE_OF_EACH = List.of(
            new Send("r1", "s1", 5),
            new Cancel("r1", 2),
            new Refuse("r2", 7),
            new Fail("r3", true),
            new SetTimer(9, "t"),
            new AskZones("r4"),
            new Report("text"),
            new Subscribe());

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
                ONE_OF_EACH.stream().map(Digest::encode).toList());
    }

    @Test
    void everyActionTypeHasARecordedForm() {
        assertEquals(
                Arrays.stream(Action.class.getPermittedSubclasses()).collect(Collectors.toSet()),
                ONE_OF_EACH.stream().map(Object::getClass).collect(Collectors.toSet()));
    }
}

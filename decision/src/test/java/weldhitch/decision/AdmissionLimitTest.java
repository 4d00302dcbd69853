package weldhitch.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests the adaptive concurrency limit on its own: slow start, growth, decrease and scaling with the endpoint
 * list.
 */
class AdmissionLimitTest {
    private static final long AIM = 600;
    private final AdmissionLimit limit = new AdmissionLimit();

    /** Returns how many important requests can be admitted at once; leaves the count as it was. */
    private int room() {
        int entered = 0;
        while (limit.hasRoom(true)) {
            limit.enter();
            entered++;
        }
        for (int i = 0; i < entered; i++) {
            limit.leave();
        }
        return entered;
    }

    private void enter(int count) {
        for (int i = 0; i < count; i++) {
            limit.enter();
        }
    }

    /**
     * Regression: a calm period with a third of the limit in use raised it to twice the endpoints' capacity.
     */
    @Test
    void growsOnlyWhileItIsInUse() {
        limit.servers(4, 4, 1);
        int before = room();
        enter(before / 2);
        for (int i = 0; i < 1000; i++) {
            inTime();
        }
        assertEquals(before / 2, room(), "half of it was never used");
        enter(before - before / 2);
        for (int i = 0; i < 100; i++) {
            inTime();
        }
        assertTrue(room() > 0, "all of it is used, and all answers are in time");
    }

    private void learn(int answers) {
        int filled = room();
        enter(filled);
        for (int i = 0; i < answers; i++) {
            inTime();
        }
        for (int i = 0; i < filled; i++) {
            limit.leave();
        }
    }

    /**
     * Regression: after a release removed two of four endpoints, the limit was still that learned with four.
     */
    @Test
    void whatWasLearnedHoldsInProportionToTheServersThatAreReady() {
        limit.servers(4, 4, 1);
        learn(200);
        int overFour = room();
        limit.servers(2, 2, 1);
        assertEquals(overFour / 2, room(), 1);
        limit.servers(0, 0, 1);
        limit.servers(4, 4, 1);
        assertEquals(overFour, room(), 1, "a list that was empty for a moment");
    }

    private void inTime() {
        limit.answered(AIM * 3 / 4, AIM);
    }

    /** Regression: a restarted node, the only one for a second, rejected half of the requests. */
    @Test
    void doublesWithEachRoundTripUntilServersShowThatTheyHaveEnough() {
        limit.servers(4, 4, 2);
        int first = room();
        quick(first);
        assertEquals(2 * first, room(), "a round trip later");
        limit.turnedAway();
        quick(first);
        assertEquals(2 * first + first / 10, room(), 1, "a server was full");
    }

    @Test
    void answersThatTookHalfTheirAimEndTheSlowStartOnceThereAreEnough() {
        limit.servers(4, 4, 2);
        int first = room();
        limit.answered(AIM / 10, AIM);
        for (int i = 0; i < 4; i++) {
            limit.answered(AIM / 2, AIM);
        }
        quick(first);
        assertEquals(first + first / 10, room(), 1);
    }

    /**
     * Regression: one slow answer among fast ones ended slow start; a fresh fleet rejected 27% in its first
     * five seconds.
     */
    @Test
    void aSlowAnswerAmongQuickOnesDoesNotEndTheSlowStart() {
        limit.servers(4, 4, 2);
        int first = room();
        for (int i = 0; i < 10; i++) {
            limit.answered(AIM / 10, AIM);
            limit.answered(AIM * 3 / 4, AIM);
        }
        quick(first);
        assertEquals(2 * first, room());
    }

    /** All answers of starting endpoints are slow, even without load. */
    @Test
    void firstAnswersThatAreAllSlowDoNotEndTheSlowStart() {
        limit.servers(4, 4, 2);
        int first = room();
        for (int i = 0; i < 10; i++) {
            limit.answered(AIM * 55 / 100, AIM);
        }
        quick(first);
        assertEquals(2 * first, room());
    }

    private void quick(int answers) {
        int filled = room();
        enter(filled);
        for (int i = 0; i < answers; i++) {
            limit.answered(AIM / 10, AIM);
            // The next request is admitted at once, so that the limit stays fully used.
            limit.enter();
        }
        for (int i = 0; i < filled + answers; i++) {
            limit.leave();
        }
    }
}

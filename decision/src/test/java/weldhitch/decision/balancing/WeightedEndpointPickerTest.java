package weldhitch.decision.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.decision.balancing.BalancerHarness.MS;
import static weldhitch.decision.balancing.BalancerHarness.chosenEndpoint;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.event.ClientDisconnected;

/** Tests the weighted pick of endpoints: the Ratio approach with two draws, failures and stalled endpoints. */
class WeightedEndpointPickerTest {
    private static final int DRAWS = 20_000;

    /** Returns the frequencies of first picks. Each request is cancelled at once, so that it leaves no state. */
    private static Map<String, Double> frequencies(BalancerHarness harness) {
        Map<String, Double> frequency = new HashMap<>();
        for (int i = 0; i < DRAWS; i++) {
            String id = "d" + i;
            String endpointId = chosenEndpoint(harness.sendRequest(id, "write"));
            frequency.merge(endpointId, 1.0 / DRAWS, Double::sum);
            harness.endAttempt(id, 0, endpointId, AttemptOutcome.NOT_SENT, 0);
            harness.handle(new ClientDisconnected(id));
            harness.endAttempt(id, 1, endpointId, AttemptOutcome.NOT_SENT, 0);
        }
        return frequency;
    }

    /** Fills the window of each endpoint with its round trip in nanoseconds, by sending requests until all are full. */
    private static void fillWindows(BalancerHarness harness, Map<String, Long> latencies) {
        Map<String, Integer> remaining = new HashMap<>();
        latencies.keySet().forEach(endpoint -> remaining.put(endpoint, 20));
        for (int i = 0; !remaining.isEmpty(); i++) {
            String endpointId = chosenEndpoint(harness.sendRequest("f" + i, "write"));
            harness.endAttempt("f" + i, 0, endpointId, AttemptOutcome.OK, latencies.get(endpointId));
            remaining.computeIfPresent(endpointId, (endpoint, n) -> n == 1 ? null : n - 1);
        }
    }

    @Test
    void lowerMeanOfTwoWeightedDrawsWins() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings().withEndpoints("a", "b");
        // The expected latency converges to a value between the two; the ratio of the means stays near 1 to 3.
        fillWindows(harness, Map.of("a", 50 * MS, "b", 150 * MS));
        Map<String, Double> frequency = frequencies(harness);
        // p(b) = (1/3) / (4/3) = 1/4, and b is picked only if both draws return it.
        assertEquals(1.0 / 16, frequency.get("b"), 0.02);
    }

    @Test
    void unsampledEndpointCountsAsTheFastest() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings().withEndpoints("a", "b");
        fillWindows(harness, Map.of("a", 50 * MS, "b", 50 * MS));
        harness.withEndpoints("a", "b", "new");
        Map<String, Double> frequency = frequencies(harness);
        // Three endpoints with about the same mean: each is picked about equally often.
        assertTrue(frequency.get("new") > 0.2, frequency.toString());
    }

    @Test
    void failuresLowerTheWeightButNotToZeroUntilASuccess() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings().withEndpoints("a", "b");
        fillWindows(harness, Map.of("a", 50 * MS, "b", 50 * MS));
        int failures = 0;
        for (int i = 0; failures < 3; i++) {
            String endpointId = chosenEndpoint(harness.sendRequest("e" + i, "write"));
            boolean fails = endpointId.equals("b");
            failures += fails ? 1 : 0;
            harness.endAttempt("e" + i, 0, endpointId, fails ? AttemptOutcome.ERROR : AttemptOutcome.OK, 50 * MS);
        }
        double frequency = frequencies(harness).get("b");
        assertTrue(frequency > 0 && frequency < 0.25, "frequency of the failing endpoint: " + frequency);
        for (int i = 0; failures > 0; i++) {
            String endpointId = chosenEndpoint(harness.sendRequest("o" + i, "write"));
            failures -= endpointId.equals("b") ? failures : 0;
            harness.endAttempt("o" + i, 0, endpointId, AttemptOutcome.OK, 50 * MS);
        }
        assertEquals(0.5, frequencies(harness).get("b"), 0.2);
    }

    /**
     * Every other attempt fails fast. Each successful one clears the failure count, so the count alone would not reveal
     * the errors.
     */
    @Test
    void endpointWithErrorsIsPickedLess() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings().withEndpoints("a", "b");
        fillWindows(harness, Map.of("a", 50 * MS, "b", 50 * MS));
        int attempts = 0;
        for (int i = 0; attempts < 30; i++) {
            String endpointId = chosenEndpoint(harness.sendRequest("h" + i, "write"));
            attempts += endpointId.equals("b") ? 1 : 0;
            boolean errs = endpointId.equals("b") && attempts % 2 == 1;
            harness.endAttempt("h" + i, 0, endpointId, errs ? AttemptOutcome.ERROR : AttemptOutcome.OK, 50 * MS);
        }
        // The last attempt was successful, so the failure count is 0.
        double frequency = frequencies(harness).get("b");
        assertTrue(frequency > 0 && frequency < 0.2, "frequency of the failing endpoint: " + frequency);
        harness.now += 60 * BalancerHarness.SECOND;
        assertEquals(0.5, frequencies(harness).get("b"), 0.1);
    }

    @Test
    void failureCountDecaysOverTime() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings().withEndpoints("a", "b");
        fillWindows(harness, Map.of("a", 50 * MS, "b", 50 * MS));
        String endpointId = "";
        for (int i = 0; !endpointId.equals("b"); i++) {
            endpointId = chosenEndpoint(harness.sendRequest("e" + i, "write"));
            harness.endAttempt(
                    "e" + i, 0, endpointId, endpointId.equals("b") ? AttemptOutcome.RESET : AttemptOutcome.OK, 50 * MS);
        }
        double frequencyAfterFailure = frequencies(harness).get("b");
        harness.now += 20 * BalancerHarness.SECOND;
        assertTrue(frequencies(harness).get("b") > frequencyAfterFailure + 0.1);
    }

    @Test
    void unresponsiveEndpointIsPickedLessDespiteItsOldMean() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings().withEndpoints("a", "b");
        fillWindows(harness, Map.of("a", 50 * MS, "b", 50 * MS));
        for (int i = 0; ; i++) {
            String endpointId = chosenEndpoint(harness.sendRequest("s" + i, "write"));
            if (endpointId.equals("b")) {
                break;
            }
            harness.endAttempt("s" + i, 0, endpointId, AttemptOutcome.OK, 50 * MS);
        }
        harness.now += 1000 * MS;
        assertTrue(frequencies(harness).getOrDefault("b", 0.0) < 0.05);
    }

    /** Regression: latencies of 0 made a mean 0 and all weights undefined, so that no endpoint could be picked. */
    @Test
    void zeroLatencyResponsesKeepEndpointsEligible() {
        BalancerHarness harness = BalancerHarness.withDefaultSettings().withEndpoints("a", "b");
        for (int i = 0; i < 50; i++) {
            String endpointId = chosenEndpoint(harness.sendRequest("r" + i, "read"));
            harness.sendRequest("open" + i, "write");
            harness.endAttempt("r" + i, 0, endpointId, AttemptOutcome.OK, 0);
        }
        assertTrue(chosenEndpoint(harness.sendRequest("last", "read")) != null);
    }
}

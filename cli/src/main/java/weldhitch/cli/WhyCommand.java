package weldhitch.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import weldhitch.decision.balancing.DecisionListener.PickTrace;
import weldhitch.replay.DecisionExplainer;
import weldhitch.replay.Replayer;

/**
 * Explains, by replaying a capture, why a request went to its endpoints, or why an endpoint was or was not picked.
 * Exits with status 1 if the capture contains no decision about that request or endpoint.
 */
@Command(
        name = "why",
        mixinStandardHelpOptions = true,
        description =
                "Explains why a request went to its servers, or why a server was or was not picked, by replaying a "
                        + "capture. Exits with status 1 if the capture has no decision about the request or server, "
                        + "3 if the capture can't be read.")
final class WhyCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Mixin
    private CaptureOption capture;

    @ArgGroup(exclusive = true, multiplicity = "1")
    private Subject subject;

    @Option(
            names = "--at",
            paramLabel = "TIME",
            description = "With --server: explains the last pick, at or before this time, that had the server as a "
                    + "candidate; for example 2026-12-01T09:30:00.250Z; default: the end of the capture.")
    private String time;

    /** The request or the server to explain; exactly one of the two is given. */
    private static final class Subject {
        @Option(names = "--request", paramLabel = "ID", description = "X-Trace-Id of the request to explain.")
        private String requestId;

        @Option(names = "--server", paramLabel = "ID", description = "Name of the server in the endpoint list.")
        private String serverId;
    }

    @Override
    public Integer call() throws Exception {
        DecisionExplainer explanation = subject.requestId != null
                ? DecisionExplainer.forRequest(subject.requestId)
                : DecisionExplainer.forEndpoint(subject.serverId, atNanos());
        Replayer replayer = new Replayer(explanation, false, explanation);
        return capture.read(replayer, () -> {
            if (capture.json()) {
                capture.out().println(toJson(explanation).toPrettyString());
            } else if (explanation.steps().isEmpty()) {
                capture.out()
                        .println(
                                "no decision about this request or server in " + replayer.replayedEvents() + " events");
            } else {
                capture.out().print(explanation.text());
            }
            if (!replayer.divergences().isEmpty()) {
                capture.out()
                        .println("This build decides differently from the captured build (see weldhitch replay): "
                                + "the explanation above is that of this build.");
            }
            return explanation.steps().isEmpty() ? 1 : 0;
        });
    }

    private long atNanos() {
        if (time == null) {
            return Long.MAX_VALUE;
        }
        try {
            Instant instant = Instant.parse(time);
            return instant.getEpochSecond() * 1_000_000_000L + instant.getNano();
        } catch (DateTimeParseException e) {
            throw new ParameterException(
                    spec.commandLine(), "--at: \"" + time + "\", expected a time such as 2026-12-01T09:30:00.250Z");
        }
    }

    private static ArrayNode toJson(DecisionExplainer explanation) {
        ArrayNode root = JsonNodeFactory.instance.arrayNode();
        for (DecisionExplainer.Step step : explanation.steps()) {
            ObjectNode node = root.addObject().put("at", step.timestamp()).put("what", step.description());
            if (step.trace() != null) {
                putPickTrace(node.putObject("draw"), step.trace());
            }
        }
        return root;
    }

    private static void putPickTrace(ObjectNode target, PickTrace pickTrace) {
        target.put("attempt", pickTrace.attempt())
                .put("best", pickTrace.lowestMean())
                .put("first", pickTrace.firstDraw())
                .put("second", pickTrace.secondDraw())
                .put("chosen", pickTrace.chosen());
        ArrayNode candidates = target.putArray("candidates");
        pickTrace
                .candidates()
                .forEach(candidate -> candidates
                        .addObject()
                        .put("server", candidate.endpointId())
                        .put("zone", candidate.zone())
                        .put("out", candidate.exclusion().label())
                        .put("windowMean", candidate.windowMean())
                        .put("drawMean", candidate.pickMean())
                        .put("failureWeight", candidate.healthFactor())
                        .put("ramp", candidate.slowStartFactor())
                        .put("credit", candidate.slowStartCredit())
                        .put("outstanding", candidate.outstanding())
                        .put("weight", candidate.weight()));
    }
}

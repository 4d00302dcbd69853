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
 * Explains, by replaying a capture, why a request went to its endpoints or why requests avoided an
 * endpoint. Exit status 1 where the capture contains nothing about it.
 */
@Command(
        name = "why",
        mixinStandardHelpOptions = true,
        description =
                "Says why a request went where it went, or why calls were drawn around a server: by playing a capture "
                        + "again. Exit status 1 where it holds nothing of that, 3 where it can't be read.")
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
            description = "With --server: the last draw at this time or before, "
                    + "such as 2026-12-01T09:30:00.250Z; the end of the capture where not given.")
    private String time;

    /** The request or the server to explain: exactly one of the two. */
    private static final class Subject {
        @Option(names = "--request", paramLabel = "ID", description = "A request's X-Trace-Id.")
        private String requestId;

        @Option(names = "--server", paramLabel = "ID", description = "A server by its name in the list.")
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
                capture.out().println("nothing of it in " + replayer.replayedEvents() + " events");
            } else {
                capture.out().print(explanation.text());
            }
            if (!replayer.divergences().isEmpty()) {
                capture.out()
                        .println("This build decides otherwise than the one captured (see weldhitch replay): "
                                + "what is said above is what this build thinks.");
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
                    spec.commandLine(),
                    "--at: \"" + time + "\" is no time, expected one such as 2026-12-01T09:30:00.250Z");
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

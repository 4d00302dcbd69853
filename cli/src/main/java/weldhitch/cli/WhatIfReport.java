package weldhitch.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.Locale;
import weldhitch.replay.Replayer.Divergence;
import weldhitch.simulator.whatif.WhatIfAnalysis;

/**
 * Formats the result of {@code replay --what-if} and {@code --model} as text or JSON, with measured and modelled
 * metrics in separate sections. Immutable; used by {@link ReplayCommand}.
 */
final class WhatIfReport {
    private static final int MAX_SHOWN_DIFFERENCES = 3;

    private final WhatIfAnalysis analysis;
    private final WhatIfAnalysis.Result result;
    private final String alternativeName;

    /**
     * Creates a report.
     *
     * @param alternativeName the name of the alternative in the output
     */
    WhatIfReport(WhatIfAnalysis analysis, WhatIfAnalysis.Result result, String alternativeName) {
        this.analysis = analysis;
        this.result = result;
        this.alternativeName = alternativeName;
    }

    void printText(PrintWriter out) {
        out.printf(
                "Measured on the captured events: replayed from %d snapshots, decisions differ %d times with %s%n",
                analysis.restores(), analysis.divergences().size(), alternativeName);
        for (Divergence difference :
                analysis.divergences().stream().limit(MAX_SHOWN_DIFFERENCES).toList()) {
            out.printf("event %d: %s%n", difference.eventNumber(), difference.description());
            if (difference.captured() != null) {
                out.println("  told:     " + difference.captured().event());
                out.println("  captured: " + difference.captured().actions());
                out.println("  here:     " + difference.replayedActions());
            }
        }
        out.printf(
                Locale.ROOT,
                "%nModelled over %d seeds: servers respond as in the capture at the load that they get, "
                        + "requests arrive as captured%n",
                result.seedCount());
        result.modelDescriptions().forEach(line -> out.println("  " + line));
        out.printf(
                "%-14s %-9s %10s %10s %10s   %s%n",
                "class",
                "",
                "captured",
                "modelled",
                alternativeName.length() > 10 ? "tried" : alternativeName,
                "change, at 95% confidence");
        String previousClass = "";
        for (WhatIfAnalysis.MetricLine line : result.lines()) {
            out.printf(
                    Locale.ROOT,
                    "%-14s %-9s %10.4f %10.4f %10.4f   %s%n",
                    line.requestClass().equals(previousClass) ? "" : line.requestClass(),
                    line.metric(),
                    line.measured(),
                    line.baseline(),
                    line.alternative(),
                    line.change().isSignificant()
                            ? String.format(
                                    Locale.ROOT,
                                    "%+.4f to %+.4f",
                                    line.change().low(),
                                    line.change().high())
                            : "not significant");
            previousClass = line.requestClass();
        }
        out.println("The difference between \"modelled\" and \"captured\" is the model's error: a change smaller than "
                + "that is not meaningful.");
    }

    ObjectNode toJson() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ObjectNode measured = root.put("tried", alternativeName).putObject("measured");
        measured.put("snapshots", analysis.restores())
                .put("partings", analysis.divergences().size());
        ArrayNode differences = measured.putArray("first");
        for (Divergence difference :
                analysis.divergences().stream().limit(MAX_SHOWN_DIFFERENCES).toList()) {
            ObjectNode node = differences
                    .addObject()
                    .put("event", difference.eventNumber())
                    .put("what", difference.description());
            if (difference.captured() != null) {
                node.put("told", difference.captured().event().toString())
                        .put("captured", difference.captured().actions().toString())
                        .put("here", difference.replayedActions().toString());
            }
        }
        ObjectNode modelled =
                root.putObject("modelled").put("seeds", result.seedCount()).put("stretches", result.segmentCount());
        result.modelDescriptions().forEach(modelled.putArray("model")::add);
        ArrayNode statistics = modelled.putArray("figures");
        for (WhatIfAnalysis.MetricLine line : result.lines()) {
            statistics
                    .addObject()
                    .put("class", line.requestClass())
                    .put("figure", line.metric())
                    .put("captured", line.measured())
                    .put("modelled", line.baseline())
                    .put("tried", line.alternative())
                    .put("low", line.change().low())
                    .put("high", line.change().high())
                    .put("differs", line.change().isSignificant());
        }
        return root;
    }
}

package weldhitch.simulator.whatif;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.decision.routing.RouteTable;
import weldhitch.replay.CaptureSummary;
import weldhitch.replay.Replayer;
import weldhitch.simulator.report.PairedDifference;

/**
 * Estimates what other routes, or this build, would have changed in a capture. Two things are determined: where
 * decisions differ, measured on the captured events; and the outcome, modelled with servers fitted to the capture.
 * The captured rules are run with the same model for comparison: their distance to the captured outcome is the
 * error of the model. Reads a capture as a consumer of its entries; single-threaded.
 */
public final class WhatIfAnalysis implements Consumer<CaptureEntry> {
    /**
     * The metrics of a class, in order: the number of requests including retries, the fractions of them by outcome,
     * attempts per request, and latencies in milliseconds.
     */
    public static final List<String> METRICS =
            List.of("arrived", "in time", "late", "refused", "failed", "gone", "attempts", "p50 ms", "p99 ms");

    public static final String ALL_CLASSES = "all";
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * One metric of a class.
     *
     * @param measured value in the capture
     * @param baseline modelled with the captured rules, mean over the seeds
     * @param alternative modelled with the other rules, mean over the seeds
     * @param change {@code alternative} less {@code baseline}, with its confidence interval
     */
    public record MetricLine(
            String requestClass,
            String metric,
            double measured,
            double baseline,
            double alternative,
            PairedDifference.MeanChange change) {}

    /**
     * The result of the model.
     *
     * @param segmentCount number of contiguous segments
     * @param modelDescriptions a description of the fitted model of each class: the fixed time, and the time for each
     *     call that shares the server, both in milliseconds
     */
    public record Result(List<MetricLine> lines, int segmentCount, int seedCount, List<String> modelDescriptions) {}

    private final ContiguousSegment.Collector collector = new ContiguousSegment.Collector();
    private final Replayer replayer;
    private final CaptureSummary measured = new CaptureSummary(NANOS_PER_SECOND);
    private final boolean routesOverridden;
    private final RouteTable routes;

    /**
     * Creates an analysis that has not read anything yet.
     *
     * @param routesOverridden whether {@code routes} (none if null) replace the captured ones; otherwise this build is
     *     evaluated
     */
    public WhatIfAnalysis(boolean routesOverridden, RouteTable routes) {
        this.routesOverridden = routesOverridden;
        this.routes = routes;
        replayer = routesOverridden ? new Replayer(null, true).withRoutes(routes) : new Replayer(null, true);
    }

    @Override
    public void accept(CaptureEntry entry) {
        collector.accept(entry);
        replayer.accept(entry);
        // The measured values come from the captured decisions, not from those of this build.
        if (entry instanceof CaptureEntry.EventRecord eventRecord) {
            measured.afterReplay(0, eventRecord, eventRecord.actions());
        } else if (entry instanceof CaptureEntry.SnapshotRecord snapshotRecord) {
            measured.onSnapshot(snapshotRecord, snapshotRecord.dropped() != null);
        }
    }

    /** Returns where decisions differ on the captured events; at most one difference for each snapshot. */
    public List<Replayer.Divergence> divergences() {
        return replayer.divergences();
    }

    /** Returns the number of snapshots from which captured events were replayed. */
    public long restores() {
        return replayer.restores();
    }

    /**
     * Reruns every segment for each seed, once with the captured rules and once with the others.
     *
     * @param seedCount two or more, for a confidence interval
     * @param confidence level of the intervals, between 0 and 1
     */
    public Result simulate(int seedCount, double confidence) {
        List<ContiguousSegment> segments = collector.segments();
        List<Map<String, double[]>> baselineRuns = new ArrayList<>();
        List<Map<String, double[]>> alternativeRuns = new ArrayList<>();
        for (long seed = 1; seed <= seedCount; seed++) {
            Map<String, double[]> baseline = new LinkedHashMap<>();
            Map<String, double[]> alternative = new LinkedHashMap<>();
            simulateSeed(segments, seed, baseline, alternative);
            baselineRuns.add(baseline);
            alternativeRuns.add(alternative);
        }
        Map<String, double[]> measuredMetrics = metrics(measured);
        List<MetricLine> lines = new ArrayList<>();
        measuredMetrics.forEach((className, measuredValues) -> {
            for (int i = 0; i < METRICS.size(); i++) {
                double[] baseline = metricValues(baselineRuns, className, i);
                double[] alternative = metricValues(alternativeRuns, className, i);
                PairedDifference.MeanChange change = PairedDifference.meanChange(baseline, alternative, confidence);
                lines.add(new MetricLine(
                        className, METRICS.get(i), measuredValues[i], change.before(), change.after(), change));
            }
        });
        List<String> modelDescriptions = new ArrayList<>();
        for (ContiguousSegment segment : segments) {
            new ServerModel(segment)
                    .fitByClass.forEach((className, fit) -> modelDescriptions.add(String.format(
                            java.util.Locale.ROOT,
                            "%s: %.1f ms and %.1f ms for each call at its server, spread %.2f, %d calls",
                            className,
                            fit.fixedNanos() / 1e6,
                            fit.nanosPerCall() / 1e6,
                            fit.logDeviation(),
                            fit.samples())));
        }
        return new Result(lines, segments.size(), seedCount, modelDescriptions);
    }

    private void simulateSeed(
            List<ContiguousSegment> segments,
            long seed,
            Map<String, double[]> baselineMetrics,
            Map<String, double[]> alternativeMetrics) {
        CaptureSummary baseline = new CaptureSummary(NANOS_PER_SECOND);
        CaptureSummary alternative = new CaptureSummary(NANOS_PER_SECOND);
        for (int i = 0; i < segments.size(); i++) {
            ContiguousSegment segment = segments.get(i);
            ServerModel model = new ServerModel(segment);
            ClientRetryModel retryModel = new ClientRetryModel(segment);
            SegmentRerun baselineRerun = new SegmentRerun(segment, model, retryModel, null, seed, baseline);
            baselineRerun.run(false, null);
            if (routesOverridden) {
                new SegmentRerun(segment, model, retryModel, baselineRerun.unserved, seed, alternative)
                        .run(true, routes);
            }
        }
        baselineMetrics.putAll(metrics(baseline));
        alternativeMetrics.putAll(metrics(routesOverridden ? alternative : baseline));
    }

    private static double[] metricValues(List<Map<String, double[]>> runs, String className, int metricIndex) {
        return runs.stream()
                .mapToDouble(run -> run.containsKey(className) ? run.get(className)[metricIndex] : 0)
                .toArray();
    }

    private static Map<String, double[]> metrics(CaptureSummary summary) {
        Map<String, double[]> metricsByClass = new LinkedHashMap<>();
        CaptureSummary.RequestCounts all = new CaptureSummary.RequestCounts();
        Histogram allLatencies = new Histogram(CaptureSummary.MAX_LATENCY_MICROS, 2);
        summary.byClass.forEach((className, counts) -> {
            all.add(counts);
            Histogram latencies = summary.answerLatencies.getOrDefault(
                    className, new Histogram(CaptureSummary.MAX_LATENCY_MICROS, 2));
            allLatencies.add(latencies);
            metricsByClass.put(className, metrics(counts, latencies));
        });
        metricsByClass.put(ALL_CLASSES, metrics(all, allLatencies));
        return metricsByClass;
    }

    private static double[] metrics(CaptureSummary.RequestCounts counts, Histogram latencies) {
        double arrived = Math.max(1, counts.arrived);
        return new double[] {
            counts.arrived,
            counts.onTime / arrived,
            counts.late / arrived,
            counts.rejected / arrived,
            counts.failed / arrived,
            counts.disconnected / arrived,
            counts.attempts / arrived,
            latencies.getValueAtPercentile(50) / 1000.0,
            latencies.getValueAtPercentile(99) / 1000.0
        };
    }
}

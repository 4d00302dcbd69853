package weldhitch.replay;

import java.nio.file.Path;
import weldhitch.capture.live.CaptureRecorder;
import weldhitch.capture.policy.CaptureLimits;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.balancing.Workload;

/** A process that captures a workload until {@link ReplayerTest} kills it. */
final class EndlessCaptureProcess {
    private EndlessCaptureProcess() {}

    public static void main(String[] args) {
        Workload workload = new Workload(Long.parseLong(args[1]));
        RatioBalancer balancer = new RatioBalancer(workload.settings, 1);
        CaptureLimits limits = new CaptureLimits(
                1 << 20, 3600 * CaptureLimits.NANOS_PER_SECOND, 1 << 30, CaptureLimits.NANOS_PER_SECOND, 1 << 12);
        CaptureRecorder capture = new CaptureRecorder(
                Path.of(args[0]),
                limits,
                "n1",
                "test",
                workload.settings,
                balancer::beginSnapshot,
                System.err::println);
        // Ends after one minute if the test does not kill it.
        for (long deadline = System.nanoTime() + 60 * CaptureLimits.NANOS_PER_SECOND; System.nanoTime() < deadline; ) {
            workload.play(
                    (now, event) -> {
                        capture.beforeEvent(now);
                        var actions = balancer.handle(now, event);
                        capture.afterEvent(now, event, actions);
                        return actions;
                    },
                    200,
                    (event, actions) -> {});
        }
        System.exit(3);
    }
}

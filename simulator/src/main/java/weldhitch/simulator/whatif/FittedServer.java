package weldhitch.simulator.whatif;

import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.simulator.cluster.EventScheduler;
import weldhitch.simulator.cluster.SimCall;
import weldhitch.simulator.cluster.SimEndpoint;
import weldhitch.simulator.whatif.ServerModel.LatencyFit;
import weldhitch.simulator.whatif.ServerModel.ServerCondition;

/**
 * A server according to the fitted model: a core that is shared evenly by the attempts of this node and those of
 * the other nodes. Each other node is assumed to have as many attempts in flight there as this one had on average
 * over the last second. Cancelled attempts still run to their end. Single-threaded, on the event scheduler.
 */
final class FittedServer implements SimEndpoint {
    /** Time constant of the moving average of this node's attempts in flight, in nanoseconds. */
    private static final double AVERAGING_NANOS = CapturedAttempts.WINDOW_NANOS;

    private final EventScheduler scheduler;
    private final ServerModel model;
    private final String endpointId;
    private final String zone;
    private final UniformRandomProvider random;
    private final PriorityQueue<Job> runningJobs = new PriorityQueue<>();
    private int ownCalls;
    private double meanOwnCalls;
    /** Work done for each running attempt since the start, in nanoseconds of an unshared core. */
    private double attainedService;

    private long attainedServiceAt;
    private int completionTimerId;

    /** One running attempt; ordered by the attained service at which it completes. */
    private record Job(double completesAtService, AttemptCallback callback) implements Comparable<Job> {
        @Override
        public int compareTo(Job other) {
            return Double.compare(completesAtService, other.completesAtService);
        }
    }

    FittedServer(
            EventScheduler scheduler, ServerModel model, String endpointId, String zone, UniformRandomProvider random) {
        this.scheduler = scheduler;
        this.model = model;
        this.endpointId = endpointId;
        this.zone = zone;
        this.random = random;
        meanOwnCalls = model.initialOutstanding(endpointId);
        attainedServiceAt = scheduler.now();
    }

    @Override
    public String zone() {
        return zone;
    }

    /**
     * {@inheritDoc}
     *
     * <p>{@code call.work()} is a multiple of the mean work of the class.
     */
    @Override
    public void handle(SimCall call, AttemptCallback callback) {
        advanceService();
        ServerCondition condition = model.conditionOf(endpointId, scheduler.now());
        double failureDraw = random.nextDouble();
        if (condition.silent()) {
            return;
        }
        AttemptOutcome failure = failureDraw < condition.errorFraction()
                ? AttemptOutcome.ERROR
                : failureDraw < condition.errorFraction() + condition.connectFailureFraction()
                        ? AttemptOutcome.CONNECT_FAILED
                        : failureDraw
                                        < condition.errorFraction()
                                                + condition.connectFailureFraction()
                                                + condition.resetFraction()
                                ? AttemptOutcome.RESET
                                : ownCalls + 1 + model.otherNodes * meanOwnCalls >= condition.capacity()
                                        ? AttemptOutcome.FULL
                                        : null;
        if (failure != null) {
            scheduler.schedule(model.rejectionLatency, () -> callback.onAttemptEnded(failure));
            return;
        }
        ownCalls++;
        LatencyFit fit = model.fitFor(call.requestClass());
        double factor = condition.slowdown() * call.work();
        scheduler.schedule((long) (factor * fit.fixedNanos()), () -> {
            advanceService();
            runningJobs.add(new Job(attainedService + factor * fit.nanosPerCall(), callback));
            scheduleCompletion();
        });
        scheduleCompletion();
    }

    private double concurrency() {
        return Math.max(1, ownCalls + model.otherNodes * meanOwnCalls);
    }

    private void advanceService() {
        long elapsed = scheduler.now() - attainedServiceAt;
        attainedService += elapsed / concurrency();
        meanOwnCalls += (ownCalls - meanOwnCalls) * (1 - Math.exp(-elapsed / AVERAGING_NANOS));
        attainedServiceAt = scheduler.now();
    }

    private void scheduleCompletion() {
        int timerId = ++completionTimerId;
        if (!runningJobs.isEmpty()) {
            scheduler.schedule(
                    (long) Math.ceil(
                            Math.max(0, runningJobs.peek().completesAtService - attainedService) * concurrency()),
                    () -> {
                        if (timerId == completionTimerId) {
                            completeFinishedJobs();
                        }
                    });
        }
    }

    private void completeFinishedJobs() {
        advanceService();
        while (!runningJobs.isEmpty() && runningJobs.peek().completesAtService <= attainedService + 1) {
            ownCalls--;
            runningJobs.poll().callback.onAttemptEnded(AttemptOutcome.OK);
        }
        scheduleCompletion();
    }
}

package weldhitch.simulator.cluster;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import weldhitch.decision.endpoint.AttemptOutcome;

/**
 * A modelled server with one core, which its running requests share evenly (processor sharing). Each request
 * first waits for other services for a while and occupies its slot meanwhile. If all slots are busy, requests
 * queue; if the queue is full as well, the server rejects them. Cancelled attempts still run to their end. A
 * server that has just started works at part of its speed, which rises linearly. Single-threaded, on the event
 * scheduler.
 */
final class SimServer implements SimEndpoint {
    final String id;
    final String zone;
    final long startedAt;
    private final EventScheduler scheduler;
    private final double speed;
    private final int slots;
    private final int queueCapacity;
    private final double initialCapacity;
    private final long slowStartWindow;
    private final ArrayDeque<Job> queuedJobs = new ArrayDeque<>();
    private final PriorityQueue<Job> runningJobs = new PriorityQueue<>();
    private int busySlots;
    /** Work done for each running request since the start, in nanoseconds of a core of speed 1. */
    private double attainedService;

    private long attainedServiceAt;
    private int completionTimerId;
    private double slowdown = 1;
    private boolean stalled;
    boolean draining;
    /** Whether it rejects every request. */
    boolean rejectsAll;

    boolean stopped;
    /** Whether it immediately responds to every request with an error, as a server with a broken disk may. */
    boolean failsFast;
    /** Whether its machine has vanished, so that it never responds again. */
    boolean silent;

    /** One request, queued or running; ordered by the attained service at which it completes. */
    private final class Job implements Comparable<Job> {
        final double work;
        final long externalWaitNanos;
        final AttemptCallback callback;
        double completesAtService;

        Job(double work, long externalWaitNanos, AttemptCallback callback) {
            this.work = work;
            this.externalWaitNanos = externalWaitNanos;
            this.callback = callback;
        }

        @Override
        public int compareTo(Job other) {
            return Double.compare(completesAtService, other.completesAtService);
        }
    }

    SimServer(
            EventScheduler scheduler,
            String id,
            String zone,
            long startedAt,
            double speed,
            int slots,
            int queueCapacity,
            double initialCapacity,
            long slowStartWindow) {
        this.scheduler = scheduler;
        this.id = id;
        this.zone = zone;
        this.startedAt = startedAt;
        this.speed = speed;
        this.slots = slots;
        this.queueCapacity = queueCapacity;
        this.initialCapacity = initialCapacity;
        this.slowStartWindow = slowStartWindow;
        attainedServiceAt = scheduler.now();
    }

    double speed() {
        return speed;
    }

    @Override
    public String zone() {
        return zone;
    }

    /**
     * {@inheritDoc}
     *
     * <p>{@code call.work()} is in nanoseconds of a core of speed 1.
     */
    @Override
    public void handle(SimCall call, AttemptCallback callback) {
        if (silent) {
            return;
        }
        if (stopped) {
            callback.onAttemptEnded(AttemptOutcome.CONNECT_FAILED);
        } else if (failsFast) {
            callback.onAttemptEnded(AttemptOutcome.ERROR);
        } else if (draining || rejectsAll || busySlots >= slots && queuedJobs.size() >= queueCapacity) {
            callback.onAttemptEnded(AttemptOutcome.FULL);
        } else {
            queuedJobs.add(new Job(call.work(), call.externalWaitNanos(), callback));
            startQueuedJobs();
        }
    }

    /** Stalls or resumes the server: a stalled server accepts requests and does no work. */
    void setStalled(boolean newStalled) {
        advanceService();
        stalled = newStalled;
        scheduleCompletion();
    }

    /** Makes the server this many times slower than its own speed. */
    void setSlowdown(double newSlowdown) {
        advanceService();
        slowdown = newSlowdown;
        scheduleCompletion();
    }

    /** Makes the server silent: it never responds to new or running requests. */
    void goSilent() {
        silent = true;
        queuedJobs.clear();
        runningJobs.clear();
        completionTimerId++;
    }

    private void startQueuedJobs() {
        while (busySlots < slots && !queuedJobs.isEmpty()) {
            Job job = queuedJobs.poll();
            busySlots++;
            scheduler.schedule(job.externalWaitNanos, () -> {
                if (!silent) {
                    advanceService();
                    job.completesAtService = attainedService + job.work;
                    runningJobs.add(job);
                    scheduleCompletion();
                }
            });
        }
    }

    private double serviceRatePerJob() {
        double slowStartFactor = startedAt == 0 || slowStartWindow == 0
                ? 1
                : Math.min(
                        1, initialCapacity + (1 - initialCapacity) * (scheduler.now() - startedAt) / slowStartWindow);
        return speed * slowStartFactor / slowdown / Math.max(1, runningJobs.size());
    }

    private void advanceService() {
        attainedService += stalled ? 0 : (scheduler.now() - attainedServiceAt) * serviceRatePerJob();
        attainedServiceAt = scheduler.now();
    }

    private void scheduleCompletion() {
        int timerId = ++completionTimerId;
        if (!runningJobs.isEmpty() && !stalled) {
            scheduler.schedule(
                    (long) Math.ceil(
                            Math.max(0, runningJobs.peek().completesAtService - attainedService) / serviceRatePerJob()),
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
            Job job = runningJobs.poll();
            busySlots--;
            job.callback.onAttemptEnded(stopped ? AttemptOutcome.RESET : AttemptOutcome.OK);
        }
        startQueuedJobs();
        scheduleCompletion();
    }
}

package weldhitch.testkit.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import weldhitch.testkit.FaultInjectingProxy;
import weldhitch.testkit.FaultInjectingProxy.Direction;

/**
 * Injects a schedule of faults into processes and links, and records when each target was affected. The schedule
 * runs on the calling thread; the recorded intervals may be read from any thread.
 */
public final class FaultInjector {
    /**
     * The interval in which a fault affected a target, in nanoseconds on the event log's clock. Immutable.
     */
    public record FaultInterval(String target, Fault.Kind kind, long startNanos, long endNanos) {}

    /** The start or the end of a fault. Immutable. */
    private record ScheduledStep(long atMillis, Fault fault, boolean isStart) {}

    private final EventLog eventLog;
    private final Map<String, ManagedProcess> processes;
    private final Map<String, FaultInjectingProxy> links;
    private final List<FaultInterval> intervals = new ArrayList<>();

    /**
     * Creates an injector. Entries may be added to the maps until a schedule runs.
     *
     * @param processes processes by target name
     * @param links links by edge name, {@code from>to}
     */
    public FaultInjector(
            EventLog eventLog, Map<String, ManagedProcess> processes, Map<String, FaultInjectingProxy> links) {
        this.eventLog = eventLog;
        this.processes = processes;
        this.links = links;
    }

    /** Runs the schedule and returns once the last fault has been reverted. */
    public void runSchedule(List<Fault> schedule) throws Exception {
        List<ScheduledStep> steps = new ArrayList<>();
        for (Fault fault : schedule) {
            steps.add(new ScheduledStep(fault.atMillis(), fault, true));
            steps.add(new ScheduledStep(fault.atMillis() + fault.durationMillis(), fault, false));
        }
        steps.sort(Comparator.comparingLong(ScheduledStep::atMillis));
        long startedAt = eventLog.elapsedNanos();
        Map<Fault, Long> startTimes = new java.util.IdentityHashMap<>();
        for (ScheduledStep step : steps) {
            waitUntil(startedAt + step.atMillis * 1_000_000);
            eventLog.append("fault", (step.isStart ? "begins " : "ends ") + Fault.format(List.of(step.fault)));
            if (step.isStart) {
                startTimes.put(step.fault, eventLog.elapsedNanos());
                inject(step.fault);
            } else {
                revert(step.fault);
                synchronized (intervals) {
                    intervals.add(new FaultInterval(
                            step.fault.target(),
                            step.fault.kind(),
                            startTimes.get(step.fault),
                            eventLog.elapsedNanos()));
                }
            }
        }
    }

    /** Waits until the time of the schedule's next step. No other thread notifies this wait. */
    private void waitUntil(long deadline) throws InterruptedException {
        synchronized (this) {
            for (long remaining = deadline - eventLog.elapsedNanos();
                    remaining > 0;
                    remaining = deadline - eventLog.elapsedNanos()) {
                wait(remaining / 1_000_000, (int) (remaining % 1_000_000));
            }
        }
    }

    private void inject(Fault fault) throws IOException, InterruptedException {
        FaultInjectingProxy proxy = links.get(fault.target());
        switch (fault.kind()) {
            case KILL -> processes.get(fault.target()).signal("KILL");
            case STOP -> processes.get(fault.target()).signal("STOP");
            case RESET -> proxy.rejectConnections().resetConnections();
            case DROP_TO_SERVER -> proxy.drop(Direction.TO_SERVER);
            case DROP_TO_CLIENT -> proxy.drop(Direction.TO_CLIENT);
            case DELAY ->
                proxy.delay(Direction.TO_SERVER, fault.magnitude()).delay(Direction.TO_CLIENT, fault.magnitude());
            case JITTER -> proxy.jitter(fault.magnitude(), fault.atMillis());
            case THROTTLE -> proxy.limitBandwidth(Direction.TO_CLIENT, fault.magnitude());
            case RESET_MID_RESPONSE -> proxy.resetAfter(fault.magnitude());
        }
    }

    private void revert(Fault fault) throws IOException, InterruptedException {
        switch (fault.kind()) {
            case KILL -> processes.get(fault.target()).start();
            case STOP -> processes.get(fault.target()).signal("CONT");
            // Bytes are missing from the streams, so the connections can't continue. They are reset, as when a machine
            // that had failed returns.
            case DROP_TO_SERVER, DROP_TO_CLIENT ->
                links.get(fault.target()).heal().resetConnections();
            default -> links.get(fault.target()).heal();
        }
    }

    /**
     * Returns whether a fault that has been reverted affected the target at any time between the two given times, in
     * nanoseconds on the event log's clock.
     */
    public boolean wasAffected(String target, long fromNanos, long toNanos) {
        synchronized (intervals) {
            return intervals.stream()
                    .anyMatch(interval -> interval.target.equals(target)
                            && interval.startNanos <= toNanos
                            && fromNanos <= interval.endNanos);
        }
    }

    /** Returns the intervals of all reverted faults, in order of their ends. */
    public List<FaultInterval> intervals() {
        synchronized (intervals) {
            return List.copyOf(intervals);
        }
    }
}

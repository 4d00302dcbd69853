package weldhitch.testkit.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * A fault of a schedule. A schedule is drawn from a seed and can be formatted and parsed as text, one fault per
 * line, so that a run can be repeated. Immutable.
 *
 * @param atMillis start of the fault, in milliseconds since the start of the schedule
 * @param target the process, or the edge in the form {@code from>to}
 * @param durationMillis time until the fault is reverted, in milliseconds
 * @param magnitude the delay or maximum jitter in milliseconds, the bandwidth in bytes per second, or the number of
 *     bytes before a reset; 0 for all other kinds
 */
public record Fault(long atMillis, Kind kind, String target, long durationMillis, int magnitude) {
    /** The kind of a fault. */
    public enum Kind {
        /** Kills the process with SIGKILL; reverted by a restart under the same name. */
        KILL(true),
        /** Suspends the process with SIGSTOP; reverted by SIGCONT. */
        STOP(true),
        /** Resets all open and new connections. */
        RESET(false),
        /** Drops the bytes sent to the server and forwards those sent by the server. */
        DROP_TO_SERVER(false),
        /** Drops the bytes sent by the server and forwards those sent to the server. */
        DROP_TO_CLIENT(false),
        /** Delays every chunk by the same time. */
        DELAY(false),
        /** Delays every chunk by a different random time. */
        JITTER(false),
        /** Limits the bandwidth of responses. */
        THROTTLE(false),
        /** Resets the connections after a number of further bytes of responses, usually within a message. */
        RESET_MID_RESPONSE(false);

        private final boolean targetsProcess;

        Kind(boolean targetsProcess) {
            this.targetsProcess = targetsProcess;
        }

        /** Returns whether this kind targets a process rather than an edge. */
        public boolean targetsProcess() {
            return targetsProcess;
        }
    }

    /**
     * Draws a schedule in which each target has at most one fault at a time and all faults are reverted by the end.
     *
     * @param processes names of the processes that may be killed or suspended
     * @param links names of the edges that may fail
     * @param spanMillis length of the schedule in milliseconds
     * @param count maximum number of faults; fewer are drawn if they don't fit without overlap
     */
    public static List<Fault> randomSchedule(
            long seed, List<String> processes, List<String> links, long spanMillis, int count) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> schedule = new ArrayList<>();
        for (int attempts = 0; schedule.size() < count && attempts < 100 * count; attempts++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            List<String> targets = kind.targetsProcess() ? processes : links;
            long duration = 200 + random.nextLong(Math.max(1, spanMillis / 4));
            long start = random.nextLong(Math.max(1, spanMillis - duration));
            int magnitude = switch (kind) {
                case DELAY, JITTER -> 20 + random.nextInt(480);
                case THROTTLE -> 200 + random.nextInt(2000);
                case RESET_MID_RESPONSE -> 1 + random.nextInt(600);
                default -> 0;
            };
            if (targets.isEmpty()) {
                continue;
            }
            Fault fault = new Fault(start, kind, targets.get(random.nextInt(targets.size())), duration, magnitude);
            if (schedule.stream().noneMatch(fault::overlaps)) {
                schedule.add(fault);
            }
        }
        schedule.sort(Comparator.comparingLong(Fault::atMillis));
        return List.copyOf(schedule);
    }

    private boolean overlaps(Fault other) {
        return target.equals(other.target)
                && atMillis <= other.atMillis + other.durationMillis
                && other.atMillis <= atMillis + durationMillis;
    }

    /** Formats a schedule as text, one fault per line, as {@link #parse} expects it. */
    public static String format(List<Fault> schedule) {
        return schedule.stream()
                .map(f -> f.atMillis + " " + f.kind + " " + f.target + " " + f.durationMillis + " " + f.magnitude)
                .collect(Collectors.joining("\n"));
    }

    /**
     * Parses a schedule.
     *
     * @throws IllegalArgumentException if a line can't be parsed; the message contains the line
     */
    public static List<Fault> parse(String text) {
        return text.lines()
                .filter(line -> !line.isBlank())
                .map(line -> {
                    String[] fields = line.trim().split(" +");
                    try {
                        return new Fault(
                                Long.parseLong(fields[0]),
                                Kind.valueOf(fields[1]),
                                fields[2],
                                Long.parseLong(fields[3]),
                                Integer.parseInt(fields[4]));
                    } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                        throw new IllegalArgumentException(
                                "invalid fault, expected AT_MILLIS KIND TARGET DURATION_MILLIS MAGNITUDE: " + line, e);
                    }
                })
                .toList();
    }
}

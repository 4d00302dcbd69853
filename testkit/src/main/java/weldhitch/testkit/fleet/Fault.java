package weldhitch.testkit.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * One fault of a schedule: drawn from a seed, and formatted and parsed as a line of text, so that a
 * schedule can be repeated. Immutable.
 *
 * @param atMillis when it begins, in milliseconds since the start of the schedule
 * @param target the process, or the edge as {@code from>to}
 * @param durationMillis how long until it is reverted, in milliseconds
 * @param magnitude milliseconds of a delay or jitter, bytes a second of a throttled link, bytes before a reset;
 *     0 for the others
 */
public record Fault(long atMillis, Kind kind, String target, long durationMillis, int magnitude) {
    /** The kind of disturbance. */
    public enum Kind {
        /** SIGKILL, and a restart under the same name when it is reverted. */
        KILL(true),
        /** SIGSTOP, and SIGCONT when it is reverted. */
        STOP(true),
        /** All connections are reset, new ones too. */
        RESET(false),
        /** Bytes to the server are lost, those from it arrive. */
        DROP_TO_SERVER(false),
        /** Bytes from the server are lost, those to it arrive. */
        DROP_TO_CLIENT(false),
        /** Every chunk is delayed by the same time. */
        DELAY(false),
        /** Every chunk is delayed by a random time of its own. */
        JITTER(false),
        /** The bandwidth of responses is limited. */
        THROTTLE(false),
        /** The connections are reset after so many more bytes of responses, within a message. */
        RESET_MID_RESPONSE(false);

        private final boolean targetsProcess;

        Kind(boolean ofProcess) {
            this.targetsProcess = ofProcess;
        }

        /** Whether it targets a process rather than an edge. */
        public boolean targetsProcess() {
            return targetsProcess;
        }
    }

    /**
     * Draws a schedule in which each target has at most one fault at a time and all are reverted by the end.
     *
     * @param processes names of processes that may be killed or stopped
     * @param links names of edges that may fail
     * @param spanMillis length of the schedule in milliseconds
     * @param count the most faults to draw; fewer where they don't fit without overlap
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

    /** A schedule as text, one fault a line, as {@link #parse} parses it. */
    public static String format(List<Fault> schedule) {
        return schedule.stream()
                .map(f -> f.atMillis + " " + f.kind + " " + f.target + " " + f.durationMillis + " " + f.magnitude)
                .collect(Collectors.joining("\n"));
    }

    /**
     * Parses a schedule.
     *
     * @throws IllegalArgumentException naming the line that can't be parsed
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

package weldhitch.fleet.error;

import java.util.List;

/**
 * An error of the state that the fleet shares. Each kind describes what happened, where, and what an operator can do
 * about it. The same description appears in log lines, in the message with which a process exits, and in the
 * coordinators' error responses. All kinds are immutable.
 */
public sealed interface FleetError {
    /**
     * The parts of an error, as shown in a log line or in the body of an HTTP response.
     *
     * @param kind the stable identifier of the kind: part of the wire protocol and the prefix of log lines; it never
     *     changes
     * @param location the file and line, member, coordinator or address that the error concerns
     * @param problem what happened, without a full stop
     * @param remedy what an operator can do, in the imperative
     */
    record Description(String kind, String location, String problem, String remedy) {}

    /** Returns the parts of this error. */
    Description describe();

    /** Returns the error as one line: kind, location, problem, remedy. */
    default String message() {
        Description description = describe();
        return description.kind() + ": " + description.location() + ": " + description.problem() + "; "
                + description.remedy();
    }

    /** Members did not vote on a version before the timeout. */
    record MissingVotes(long version, List<String> members) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "member-absent",
                    members.isEmpty() ? "the membership" : members.get(0),
                    "version " + version + " received no vote in time from " + String.join(", ", members),
                    "check that they run and can reach the coordinators; for a permanently removed member, create the"
                            + " file NAME.gone in the directory of submitted versions; then submit the version again");
        }
    }

    /** A member voted for a version, and its lease expired before it learned the outcome. */
    record InDoubt(long version, String member) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "in-doubt",
                    member,
                    "cannot determine whether version " + version
                            + " is active: rejects the requests that the two versions treat differently",
                    "restore the network path from this member to the coordinators; it then recovers by itself");
        }
    }

    /** A member has not joined the fleet since it started. */
    record NotJoined(String member) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "not-joined",
                    member,
                    "has not joined since its start: the active version is unknown and requests are rejected",
                    "restore the network path from this member to the coordinators, or set before-join = \"serve\" to"
                            + " serve its own file");
        }
    }

    /**
     * There is no leader, or too few coordinators respond to it for a quorum.
     *
     * @param coordinator the coordinator that reports the error
     * @param reachable number of coordinators that respond
     * @param total number of coordinators
     */
    record NoQuorum(String coordinator, int reachable, int total) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "no-majority",
                    coordinator,
                    reachable + " of " + total
                            + " coordinators reachable: no quorum, so no command is committed and no lease is granted",
                    "start the other coordinators, or restore the network path to them");
        }
    }

    /**
     * No coordinator responded to a member as leader: calls failed, or a coordinator that does not lead responded.
     *
     * @param failures the causes of the failed attempts
     */
    record CoordinatorUnreachable(String member, List<String> failures) implements FleetError {
        /** Copies the list, so that the record stays immutable. */
        public CoordinatorUnreachable {
            failures = List.copyOf(failures);
        }

        @Override
        public Description describe() {
            return new Description(
                    "steward-unreachable",
                    member,
                    "no coordinator responds as leader (" + String.join(", ", failures)
                            + "); until one does, this member prepares no new version",
                    "start the coordinators, or restore the network path to them");
        }
    }

    /** A coordinator's state log is damaged, so a promise may have been lost. */
    record StateLogDamaged(String file) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "log-suspect",
                    file,
                    "the last record is damaged: this coordinator learns committed commands but does not vote",
                    "check the disk; while the other coordinators have a quorum, stop this coordinator, remove the"
                            + " log and its .suspect mark, and start it under a new name");
        }
    }

    /** A coordinator could not open, read or write its state on disk. */
    record StateWriteFailed(String file, String reason) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "disk-refused",
                    file,
                    "cannot read or write the state on disk: " + reason + "; nothing was acknowledged or changed",
                    "free space on the disk, or repair it");
        }
    }

    /** A member knows the activation time of a version with too large an error. */
    record ClockErrorTooLarge(String member, long errorMillis, long limitMillis) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "clock-error-too-large",
                    member,
                    "clock error relative to the fleet clock is " + errorMillis + " ms, limit " + limitMillis + " ms",
                    "reduce the latency of the network path from this member to the coordinators");
        }
    }

    /** A coordinator received a message that is malformed or not meant for it. */
    record MessageRejected(String sender, String reason) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "message-refused",
                    sender,
                    reason,
                    "check that the sender's name, cluster and program version match those of the coordinators");
        }
    }

    /** A submitted file is not a valid version. */
    record InvalidBundle(String file, int line, String reason) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "bundle-unusable",
                    file + ":" + line,
                    reason,
                    "correct the file and submit it again by an atomic rename");
        }
    }

    /**
     * The view of the fleet's zones is too old to be used.
     *
     * @param maxAgeMillis the age above which a view is not used
     */
    record StaleFleetView(String member, long maxAgeMillis) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "stale-view",
                    member,
                    "has received no view of the fleet's zones for " + maxAgeMillis
                            + " ms: uses its own measurements and spills over the uncoordinated fraction",
                    "restore the network path from this member to the coordinators, or, if they receive reports from"
                            + " fewer than half of the nodes, the paths from the others");
        }
    }

    /** No zone that a locality rule permits has a responding endpoint. */
    record NoPermittedZone(String member, String rule) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "rule-impossible",
                    member,
                    "locality rule " + rule + " permits no available zone: its requests are rejected",
                    "restore endpoints in the permitted zones, or submit a version that prefers more zones or forbids"
                            + " fewer");
        }
    }

    /**
     * A setting in a configuration file is invalid.
     *
     * @param key the setting
     * @param found what is wrong with its value
     * @param expected the values that are valid, which is the remedy
     */
    record InvalidSetting(String file, int line, String key, String found, String expected) implements FleetError {
        @Override
        public Description describe() {
            return new Description("setting-unusable", file + ":" + line, key + ": " + found, expected);
        }
    }
}

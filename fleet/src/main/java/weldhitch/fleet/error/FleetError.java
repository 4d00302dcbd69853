package weldhitch.fleet.error;

import java.util.List;

/**
 * An error of the state that the fleet shares. Each kind describes what happened, where, and what an operator can
 * do. The same description appears in log lines, in the message with which a process exits, and in the
 * coordinators' error responses. All kinds are immutable.
 */
public sealed interface FleetError {
    /**
     * The parts of an error, as a log line or the body of an HTTP response shows them.
     *
     * @param kind the stable identifier of the kind: part of the wire protocol and the prefix of log lines; it
     *     never changes
     * @param location the file and line, member, coordinator or address that it is about
     * @param problem what happened, without a full stop
     * @param remedy what an operator can do, in the imperative
     */
    record Description(String kind, String location, String problem, String remedy) {}

    /** The parts of this error. */
    Description describe();

    /** One line: kind, location, problem, remedy. */
    default String message() {
        Description description = describe();
        return description.kind() + ": " + description.location() + ": " + description.problem() + "; "
                + description.remedy();
    }

    /** Members did not vote in time. */
    record MissingVotes(long version, List<String> members) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "member-absent",
                    members.isEmpty() ? "the membership" : members.get(0),
                    "version " + version + " had no vote in time from " + String.join(", ", members),
                    "check that they run and reach the coordinators; for a member that is removed for good put"
                            + " NAME.gone beside the versions, then submit the version again");
        }
    }

    /** A member voted, and its lease expired before it learned the decision. */
    record InDoubt(long version, String member) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "in-doubt",
                    member,
                    "cannot tell whether version " + version
                            + " is active: requests on which the two versions differ are rejected",
                    "restore the path from this member to the coordinators; it recovers by itself");
        }
    }

    /** A member has not joined since its start. */
    record NotJoined(String member) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "not-joined",
                    member,
                    "has not joined since its start: the active version is unknown and requests are rejected",
                    "restore the path from this member to the coordinators, or set before-join = \"serve\" to serve its"
                            + " own file");
        }
    }

    /**
     * Too few coordinators for a quorum respond to the leader, or there is no leader.
     *
     * @param coordinator the coordinator that reports it
     * @param reachable how many respond
     * @param total how many there are
     */
    record NoQuorum(String coordinator, int reachable, int total) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "no-majority",
                    coordinator,
                    reachable + " of " + total
                            + " coordinators reachable: no quorum, nothing is decided and no lease is granted",
                    "start the other coordinators, or restore the path to them");
        }
    }

    /**
     * None of the coordinators responded to a member.
     *
     * @param failures what went wrong with each attempt
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
                    "no coordinator answers (" + String.join(", ", failures) + "); the active version stays",
                    "start them, or restore the path to them");
        }
    }

    /** A coordinator's state log is damaged and may have lost a promise. */
    record StateLogDamaged(String file) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "log-suspect",
                    file,
                    "the last record is damaged: this coordinator learns and does not vote",
                    "check the disk; while the others have a quorum, stop this coordinator, remove the log and its"
                            + " .suspect mark and give it a new name");
        }
    }

    /** A coordinator could not write its state log. */
    record StateWriteFailed(String file, String reason) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "disk-refused",
                    file,
                    "cannot write what was decided: " + reason + "; nothing was acknowledged or changed",
                    "free space on the disk, or repair it");
        }
    }

    /** The time of a switch is not known precisely enough. */
    record ClockErrorTooLarge(String member, long errorMillis, long limitMillis) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "clock-error-too-large",
                    member,
                    "knows the fleet clock to " + errorMillis + " ms only, limit " + limitMillis + " ms",
                    "find what slows the path from it to the coordinators");
        }
    }

    /** A coordinator was sent a message that is malformed or not meant for it. */
    record MessageRejected(String sender, String reason) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "message-refused",
                    sender,
                    reason,
                    "check the sender: name, cluster and version of the program have to match the coordinators'");
        }
    }

    /** A submitted file is not a valid version. */
    record InvalidBundle(String file, int line, String reason) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "bundle-unusable", file + ":" + line, reason, "correct the file and submit it again by rename");
        }
    }

    /**
     * The view of the fleet's zones is too old to be used.
     *
     * @param maxAgeMillis the age from which on a view is not used
     */
    record StaleFleetView(String member, long maxAgeMillis) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "stale-view",
                    member,
                    "has had no view of the fleet's zones for " + maxAgeMillis
                            + " ms: uses its own measurements and spills the uncoordinated fraction",
                    "restore the path from it to the coordinators, or that of the half of the nodes that they do not"
                            + " receive reports from");
        }
    }

    /** No zone that a rule permits has a responding endpoint. */
    record NoPermittedZone(String member, String rule) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "rule-impossible",
                    member,
                    "locality rule " + rule + " has no zone left that it may send to: its requests are rejected",
                    "bring endpoints of these zones back, or submit a version that prefers more zones or forbids"
                            + " fewer");
        }
    }

    /**
     * A setting of a configuration is invalid.
     *
     * @param key the setting
     * @param found what is wrong with it
     * @param expected what it has to be, which is the remedy
     */
    record InvalidSetting(String file, int line, String key, String found, String expected) implements FleetError {
        @Override
        public Description describe() {
            return new Description("setting-unusable", file + ":" + line, key + ": " + found, expected);
        }
    }
}

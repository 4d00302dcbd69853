package weldhitch.fleet.error;

import java.util.List;

/**
 * An error of the state that the fleet shares. Each kind says what happened, where, and what an operator can
 * do; its wording is the same in log lines, in the line that ends a process, and in the coordinators'
 * responses. All kinds are immutable.
 */
public sealed interface FleetError {
    /**
     * The parts of an error, as a log line or the body of an HTTP response shows them.
     *
     * @param kind the name of its kind: coordinators send it, log lines begin with it, and it never changes
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
                    members.isEmpty() ? "the roster" : members.get(0),
                    "version " + version + " had no vote in time from " + String.join(", ", members),
                    "look whether they run and reach the stewards; lay NAME.gone beside the versions for one that is gone for good,"
                            + " then lay the version in again");
        }
    }

    /** A member voted, and its lease expired before it learned the decision. */
    record InDoubt(long version, String member) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "in-doubt",
                    member,
                    "may not say whether version " + version + " is in force: routes on which it differs are refused",
                    "restore the way from this member to the stewards; it goes on by itself once it hears them");
        }
    }

    /** A member has not joined since its start. */
    record NotJoined(String member) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "not-joined",
                    member,
                    "started and has not heard which version is in force: requests are refused",
                    "restore the way from this member to the stewards, or set before-join = \"serve\" to serve by its own file");
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
                    reachable + " of " + total + " stewards answer: nothing is decided and no lease is given",
                    "start the other stewards, or restore the way to them");
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
                    "no steward answers (tried " + String.join(", ", failures) + "); what is in force stays so",
                    "start them, or restore the way to them");
        }
    }

    /** A coordinator's state log is damaged and may have lost a promise. */
    record StateLogDamaged(String file) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "log-suspect",
                    file,
                    "its last record is damaged: this steward learns and does not vote",
                    "look at the disk; while the others run with a majority, stop this steward, take the log and its .suspect mark"
                            + " away and give it a new name");
        }
    }

    /** A coordinator could not write its state log. */
    record StateWriteFailed(String file, String reason) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "disk-refused",
                    file,
                    "cannot write what was decided: " + reason + "; nothing was answered and nothing is changed",
                    "make room on the disk, or mend it");
        }
    }

    /** The time of a switch is not known precisely enough. */
    record ClockErrorTooLarge(String member, long errorMillis, long limitMillis) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "clock-error-too-large",
                    member,
                    "knows the fleet's time to " + errorMillis + " ms only, " + limitMillis + " are allowed",
                    "look for what slows the way from it to the stewards");
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
                    "look at who sends it: name, cluster and version of the program have to agree with the stewards'");
        }
    }

    /** A submitted file is not a valid version. */
    record InvalidBundle(String file, int line, String reason) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "bundle-unusable", file + ":" + line, reason, "mend the file and lay it in again by rename");
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
                            + " ms: goes by its own calls, and spills the lesser share",
                    "restore the way from it to the stewards, or that of the half of the nodes that they do not hear");
        }
    }

    /** No zone that a rule permits has a responding endpoint. */
    record NoPermittedZone(String member, String rule) implements FleetError {
        @Override
        public Description describe() {
            return new Description(
                    "rule-impossible",
                    member,
                    "locality rule " + rule + " has no zone left that it may send to: its requests are refused",
                    "bring servers of these zones back, or lay in a version that prefers further zones or forbids fewer");
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

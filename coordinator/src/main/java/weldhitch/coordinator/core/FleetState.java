package weldhitch.coordinator.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import weldhitch.consensus.Command;
import weldhitch.consensus.Command.Action;
import weldhitch.consensus.CommittedState;
import weldhitch.fleet.activation.ActivationOutcome;
import weldhitch.fleet.activation.RouteVersion;

/**
 * The route versions and members according to the committed commands; also builds the commands that change them.
 * Immutable.
 *
 * @param members incarnations by member name
 * @param activeVersion the active version, which is the last one finalized
 * @param activeBundle text of the active version; empty for {@link RouteVersion#OWN_FILE}
 * @param pendingVersion the version that is prepared and not yet active; null if there is none
 * @param pendingBundle text of the pending version; null if there is none
 * @param outcome whether the version that was prepared last is committed or aborted; null while undecided
 * @param submissionIds ids of the most recent submissions, the latest last
 * @param lastVersionNumber number of the version that was prepared last; 0 if there is none
 */
public record FleetState(
        Map<String, String> members,
        RouteVersion activeVersion,
        String activeBundle,
        RouteVersion pendingVersion,
        String pendingBundle,
        ActivationOutcome outcome,
        List<String> submissionIds,
        long lastVersionNumber) {
    private static final int MAX_REMEMBERED_SUBMISSIONS = 64;
    private static final String MEMBERS_TARGET = "roster";
    private static final String PREPARED_TARGET = "prepared";
    private static final String OUTCOME_TARGET = "outcome";
    private static final String FINALIZED_TARGET = "settled";

    /** Derives the state from the committed commands. */
    public static FleetState fromCommitted(CommittedState committed) {
        Command membersCommand = committed.activeCommands().get(MEMBERS_TARGET);
        Command preparedCommand = committed.activeCommands().get(PREPARED_TARGET);
        Command outcomeCommand = committed.activeCommands().get(OUTCOME_TARGET);
        Command finalizedCommand = committed.activeCommands().get(FINALIZED_TARGET);
        RouteVersion activeVersion = finalizedCommand == null ? RouteVersion.OWN_FILE : version(finalizedCommand);
        RouteVersion pendingVersion = preparedCommand == null ? null : version(preparedCommand);
        ActivationOutcome outcome = outcomeCommand == null
                        || pendingVersion == null
                        || versionNumber(outcomeCommand) != pendingVersion.number()
                ? null
                : outcome(outcomeCommand);
        if (pendingVersion != null
                && (pendingVersion.number() <= activeVersion.number() || outcome != null && !outcome.committed())) {
            pendingVersion = null;
        }
        return new FleetState(
                membersCommand == null ? Map.of() : membersCommand.parameters(),
                activeVersion,
                finalizedCommand == null ? "" : finalizedCommand.parameters().get("bundle"),
                pendingVersion,
                pendingVersion == null ? null : preparedCommand.parameters().get("bundle"),
                outcome,
                preparedCommand == null
                        ? List.of()
                        : List.of(preparedCommand.parameters().get("laid").split("\n")),
                preparedCommand == null ? 0 : versionNumber(preparedCommand));
    }

    private static long versionNumber(Command command) {
        return Long.parseLong(command.parameters().get("number"));
    }

    private static RouteVersion version(Command command) {
        return new RouteVersion(versionNumber(command), command.parameters().get("sha256"));
    }

    private static ActivationOutcome outcome(Command command) {
        Map<String, String> parameters = command.parameters();
        if (command.action() == Action.ABORT) {
            List<String> reasons = new ArrayList<>();
            for (int i = 0; parameters.containsKey("reason." + i); i++) {
                reasons.add(parameters.get("reason." + i));
            }
            return new ActivationOutcome(versionNumber(command), false, null, 0, reasons);
        }
        return new ActivationOutcome(
                versionNumber(command),
                true,
                parameters.get("clock"),
                Long.parseLong(parameters.get("moment")),
                List.of());
    }

    /** Returns the text of the version with this number if it is active or pending; otherwise null. */
    public String bundleOf(long number) {
        return pendingVersion != null && pendingVersion.number() == number
                ? pendingBundle
                : activeVersion.number() == number && number > 0 ? activeBundle : null;
    }

    static Command leadershipNoOp(String issuer, String commandId) {
        return new Command(commandId, issuer, "leads from now on", Action.NO_OP, Set.of(), 0);
    }

    Command membershipCommand(String issuer, String commandId, Map<String, String> joining, Set<String> leaving) {
        Map<String, String> updatedMembers = new TreeMap<>(members);
        updatedMembers.putAll(joining);
        updatedMembers.keySet().removeAll(leaving);
        return new Command(
                commandId, issuer, "members come and go", Action.MEMBERSHIP, Set.of(MEMBERS_TARGET), 0, updatedMembers);
    }

    Command prepareCommand(String issuer, String commandId, String sha256, String bundle, String fileName) {
        List<String> updatedSubmissionIds = new ArrayList<>(submissionIds);
        updatedSubmissionIds.add(commandId);
        return new Command(
                commandId,
                issuer,
                "laid in as " + fileName,
                Action.PREPARE,
                Set.of(PREPARED_TARGET),
                0,
                Map.of(
                        "number",
                        Long.toString(lastVersionNumber + 1),
                        "sha256",
                        sha256,
                        "bundle",
                        bundle,
                        "file",
                        fileName,
                        "laid",
                        String.join(
                                "\n",
                                updatedSubmissionIds.subList(
                                        Math.max(0, updatedSubmissionIds.size() - MAX_REMEMBERED_SUBMISSIONS),
                                        updatedSubmissionIds.size()))));
    }

    Command commitCommand(String issuer, String commandId, String clock, long activationTime) {
        return new Command(
                commandId,
                issuer,
                "every member is prepared",
                Action.COMMIT,
                Set.of(OUTCOME_TARGET),
                0,
                Map.of(
                        "number",
                        Long.toString(pendingVersion.number()),
                        "clock",
                        clock,
                        "moment",
                        Long.toString(activationTime)));
    }

    Command abortCommand(String issuer, String commandId, List<String> reasons) {
        Map<String, String> parameters = new HashMap<>();
        parameters.put("number", Long.toString(pendingVersion.number()));
        for (int i = 0; i < reasons.size(); i++) {
            parameters.put("reason." + i, reasons.get(i));
        }
        return new Command(
                commandId,
                issuer,
                "not every member can serve by it",
                Action.ABORT,
                Set.of(OUTCOME_TARGET),
                0,
                parameters);
    }

    Command finalizeCommand(String issuer, String commandId) {
        return new Command(
                commandId,
                issuer,
                "its moment is past",
                Action.FINALIZE,
                Set.of(FINALIZED_TARGET),
                0,
                Map.of(
                        "number",
                        Long.toString(pendingVersion.number()),
                        "sha256",
                        pendingVersion.sha256(),
                        "bundle",
                        pendingBundle));
    }
}

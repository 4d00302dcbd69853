package weldhitch.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * The complete state after a command was committed. A process that missed some generations needs only the last one.
 * Immutable.
 *
 * @param generation the number of committed commands, 0 for none
 * @param command the command that was committed last, null for generation 0
 * @param activeCommands the last command for each target
 */
public record CommittedState(long generation, Command command, Map<String, Command> activeCommands) {
    /** The state before any command is committed. */
    public static final CommittedState INITIAL = new CommittedState(0, null, Map.of());

    /** Copies the map. */
    public CommittedState {
        activeCommands = Map.copyOf(activeCommands);
    }

    /** Returns the state after {@code nextCommand} is committed on top of this one. */
    public CommittedState apply(Command nextCommand) {
        Map<String, Command> commands = new HashMap<>(activeCommands);
        nextCommand.targets().forEach(target -> commands.put(target, nextCommand));
        return new CommittedState(generation + 1, nextCommand, commands);
    }
}

package weldhitch.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point and root command of the command line {@code weldhitch}. */
@Command(
        name = "weldhitch",
        mixinStandardHelpOptions = true,
        version = "weldhitch 0.1.0",
        description = "Runs and inspects load-balancing nodes.",
        subcommands = {
            DemoCommand.class,
            CheckCommand.class,
            ExplainCommand.class,
            CertificateCommands.class,
            ReplayCommand.class,
            WhyCommand.class,
            CaptureCommands.class,
            SimulatorCommands.class,
            CoordinatorCommand.class
        })
public final class Weldhitch {
    private Weldhitch() {}

    /** Runs a command and exits with its status; 2 if the arguments are invalid. */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new Weldhitch());
        addFormerName(commandLine, "steward", new CoordinatorCommand());
        addFormerName(commandLine, "lab", new SimulatorCommands());
        return commandLine;
    }

    /** Keeps a verb of earlier releases working without listing it in the help. */
    private static void addFormerName(CommandLine commandLine, String formerName, Object command) {
        CommandLine former = new CommandLine(command);
        former.getCommandSpec().name(formerName).usageMessage().hidden(true);
        commandLine.addSubcommand(formerName, former);
    }
}

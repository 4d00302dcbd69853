package weldhitch.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import weldhitch.coordinator.server.CoordinatorServer;
import weldhitch.coordinator.server.CoordinatorSettings;
import weldhitch.fleet.error.FleetException;

/**
 * Runs a coordinator, one of the 1, 3 or 5 processes that replicate the fleet's shared state, until a signal ends the
 * process.
 */
@Command(
        name = "coordinator",
        mixinStandardHelpOptions = true,
        description = "Runs a coordinator: one of 1, 3 or 5 processes that replicate the fleet's shared state.")
final class CoordinatorCommand implements Callable<Integer> {
    private static final int EXIT_INVALID_CONFIG = 78;

    @Option(
            names = "--config",
            required = true,
            paramLabel = "FILE",
            description = "Configuration file of the coordinator (TOML).")
    private Path configFile;

    @Override
    public Integer call() throws InterruptedException {
        CoordinatorSettings.ReadResult result = CoordinatorSettings.read(configFile);
        if (result.settings() == null) {
            result.errors().forEach(e -> System.err.println("weldhitch: " + e.message()));
            return EXIT_INVALID_CONFIG;
        }
        try {
            CoordinatorServer coordinator = CoordinatorServer.start(result.settings(), System.err::println);
            Runtime.getRuntime().addShutdownHook(new Thread(coordinator::close, "end"));
        } catch (FleetException e) {
            System.err.println("weldhitch: " + e.error().message());
            return EXIT_INVALID_CONFIG;
        }
        // The coordinator runs in its own threads until a signal ends the process.
        new CountDownLatch(1).await();
        return 0;
    }
}

package weldhitch.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import weldhitch.capture.format.CaptureEntry;
import weldhitch.capture.format.CaptureFiles;

/** Declares the parameters shared by all commands that read a capture, and reads the capture. */
final class CaptureOption {
    /** Exit status if the files can't be read or are not a capture. */
    static final int EXIT_UNREADABLE = 3;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Parameters(
            arity = "1..*",
            paramLabel = "PATH",
            description = "Segments of a capture in order, or the directory that contains them.")
    private List<Path> paths;

    @Option(names = "--json", description = "Prints JSON.")
    private boolean json;

    boolean json() {
        return json;
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /**
     * Reads all entries, then calls {@code onSuccess}; prints one line on standard error if the capture can't be read.
     *
     * @return the exit status: that of {@code onSuccess}, or {@link #EXIT_UNREADABLE}
     */
    Integer read(Consumer<CaptureEntry> consumer, Callable<Integer> onSuccess) throws Exception {
        try {
            CaptureFiles.read(paths, consumer);
        } catch (NoSuchFileException e) {
            return reportUnreadable(e.getFile() + ": " + (e.getReason() == null ? "no such file" : e.getReason()));
        } catch (IOException e) {
            return reportUnreadable(String.valueOf(e.getMessage()));
        }
        Integer status = onSuccess.call();
        out().flush();
        return status;
    }

    private int reportUnreadable(String reason) {
        spec.commandLine().getErr().println("weldhitch: " + reason);
        spec.commandLine().getErr().flush();
        return EXIT_UNREADABLE;
    }
}

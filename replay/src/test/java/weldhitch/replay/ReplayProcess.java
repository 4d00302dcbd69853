package weldhitch.replay;

import java.nio.file.Path;
import java.util.List;
import weldhitch.capture.format.CaptureFiles;

/** Replays a capture in a separate process, for which {@link ReplayerTest} chooses the JVM options. */
final class ReplayProcess {
    private ReplayProcess() {}

    public static void main(String[] args) throws Exception {
        Replayer replayer = new Replayer(null, false);
        CaptureFiles.read(List.of(Path.of(args[0])), replayer);
        System.out.println(
                replayer.replayedEvents() + " events, " + replayer.divergences().size() + " differences");
    }
}

package weldhitch.replay;

import java.nio.file.Path;
import java.util.List;
import weldhitch.capture.format.CaptureFiles;

/** Plays a capture in a process of its own. */
final class PlayProcess {
    private PlayProcess() {
    }

    public static void main(String[] args) throws Exception {
        Player player = new Player(null, false);
        CaptureFiles.read(List.of(Path.of(args[0])), player);
        System.out.println(player.events() + " events, " + player.differences().size() + " differences");
    }
}

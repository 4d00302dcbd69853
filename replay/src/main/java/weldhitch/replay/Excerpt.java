package weldhitch.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import weldhitch.capture.format.CaptureFiles;
import weldhitch.capture.format.Entry;

/**
 * An incident as a regression test: an excerpt of a capture, played by this build, with what must hold of it. Each check
 * throws an {@link AssertionError} that says what did not, so it serves in any test framework.
 */
public final class Excerpt {
    private final Path file;
    private final Player player;
    private final Verify verify = new Verify();
    private final Summary summary = new Summary(1_000_000_000L);

    private Excerpt(Path file) {
        this.file = file;
        player = new Player(summary, false, summary);
    }

    /** Reads and plays it. */
    public static Excerpt play(Path file) throws IOException {
        Excerpt excerpt = new Excerpt(file);
        CaptureFiles.read(List.of(file), excerpt::entry);
        excerpt.check(excerpt.player.events() > 0, "holds no events");
        return excerpt;
    }

    private void entry(Entry entry) {
        player.accept(entry);
        verify.accept(entry);
    }

    /** Every decision is the captured one. Not to be asked for where a rule was changed on purpose. */
    public Excerpt decidesAlike() {
        check(player.differences().isEmpty(), "decides otherwise: " + player.differences().stream().findFirst().orElse(null));
        return this;
    }

    /** None of the four rules is broken in it. */
    public Excerpt keepsTheRules() {
        check(verify.judge.breaches().isEmpty(), "breaks a rule: " + verify.judge.breaches().stream().findFirst().orElse(null));
        return this;
    }

    /** A server gets at most this part of the sends, 0 to 1. */
    public Excerpt sendsAtMost(String server, double part) {
        long all = summary.servers.values().stream().mapToLong(s -> s.sends).sum();
        double share = summary.servers.containsKey(server) ? (double) summary.servers.get(server).sends / all : 0;
        check(share <= part, server + " gets " + share + " of " + all + " sends, " + part + " at most expected");
        return this;
    }

    /** At least this part of the requests that arrive and end in it is served, 0 to 1. */
    public Excerpt servesAtLeast(double part) {
        long served = summary.classes.values().stream().mapToLong(c -> c.served + c.late).sum();
        long ended = summary.classes.values().stream().mapToLong(c -> c.served + c.late + c.refused + c.failed + c.gone).sum();
        check(ended > 0 && served >= part * ended, served + " of " + ended + " served, " + part + " expected");
        return this;
    }

    /** What was counted, for checks of a test's own. */
    public Summary summary() {
        return summary;
    }

    private void check(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(file + ": " + what);
        }
    }
}

package weldhitch.replay;

import weldhitch.capture.format.Entry;
import weldhitch.replay.policy.RuleJudge;
import java.util.function.Consumer;

/** Holds a capture against the four rules, by what it says was told and decided; nothing is played. */
public final class Verify implements Consumer<Entry> {
    public final RuleJudge judge = new RuleJudge();
    private String run;
    private boolean reads;
    private long damages;

    @Override
    public void accept(Entry entry) {
        if (entry instanceof Entry.Known known) {
            if (!reads || known.missed() != null || !known.run().equals(run)) {
                judge.begin(known.now(), known.settings(), known.snapshot());
                run = known.run();
                reads = true;
            }
        } else if (entry instanceof Entry.Told told && reads) {
            judge.told(told.now(), told.event(), told.actions());
        } else if (entry instanceof Entry.Damage) {
            damages++;
            reads = false;
        }
    }

    public long damages() {
        return damages;
    }
}

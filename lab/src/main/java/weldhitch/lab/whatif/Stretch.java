package weldhitch.lab.whatif;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import weldhitch.capture.format.Entry;

/**
 * A contiguous segment of a capture: events without gaps, and the snapshot before the first. The list of events
 * grows while the capture is read.
 */
record Stretch(Entry.Known begin, List<Entry.Told> events) {

    /** Splits a capture into contiguous segments. Not thread-safe. */
    static final class Collector implements Consumer<Entry> {
        private final List<Stretch> stretches = new ArrayList<>();
        private boolean broken = true;

        @Override
        public void accept(Entry entry) {
            if (entry instanceof Entry.Known known) {
                Stretch last = stretches.isEmpty() ? null : stretches.get(stretches.size() - 1);
                if (broken || known.missed() != null || !known.run().equals(last.begin.run())) {
                    stretches.add(new Stretch(known, new ArrayList<>()));
                }
                broken = false;
            } else if (entry instanceof Entry.Told told && !broken) {
                stretches.get(stretches.size() - 1).events.add(told);
            } else if (entry instanceof Entry.Damage) {
                broken = true;
            }
        }

        List<Stretch> stretches() {
            return stretches.stream().filter(s -> !s.events.isEmpty()).toList();
        }
    }
}

package weldhitch.replay;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import weldhitch.capture.format.Documents;
import weldhitch.capture.format.Entry;
import weldhitch.decision.Balancing.Action;
import weldhitch.decision.Balancing.NewRoutes;
import weldhitch.decision.RatioBalancer;
import weldhitch.decision.Routes;
import weldhitch.decision.Snapshot;
import weldhitch.decision.Watch;

/**
 * Plays a capture by this build's own decisions and holds each against the captured one. Begins at the first snapshot,
 * and anew behind what is missing or damaged. Where snapshots follow one another with nothing missing, what the module
 * knows by then is held against each as well.
 */
public final class Player implements Consumer<Entry> {
    /** Told of each event as it is played, and of what can't be. */
    public interface Listener {
        /** Before the event is played. */
        default void playing(Entry.Told told) {
        }

        /** @param actions what this build decided */
        default void played(long number, Entry.Told told, List<Action> actions) {
        }

        /** @param anew whether the module was made from it, as something is missing before it or nothing came before */
        default void known(Entry.Known known, boolean anew) {
        }

        default void damaged(Entry.Damage damage) {
        }
    }

    /**
     * Where the two part.
     *
     * @param number of the event, from 1
     * @param told the captured event with what was decided on it; null where what is known differs at a snapshot
     * @param replayed what this build decides
     * @param what in words
     */
    public record Difference(long number, long at, Entry.Told told, List<Action> replayed, String what) {
    }

    private final Watch watch;
    private boolean restoreAtEach;
    /** Whether the captured routes are left out, for these. */
    private boolean otherRoutes;
    private Routes routes;
    private final List<Listener> listeners;
    private final List<Difference> differences = new ArrayList<>();
    private RatioBalancer module;
    private String run;
    private long events;
    private long skipped;
    private long actions;
    private long snapshots;
    private long anew;
    private long damages;
    private long missed;
    private long firstAt = Long.MAX_VALUE;
    private long lastAt = Long.MIN_VALUE;
    private boolean done;
    private long from = 1;
    private long until = Long.MAX_VALUE;
    private long untilTime = Long.MAX_VALUE;

    /**
     * @param watch told why, or null
     * @param restoreAtEach whether each snapshot is taken up, rather than held against what is known by then
     */
    public Player(Watch watch, boolean restoreAtEach, Listener... listeners) {
        this.watch = watch;
        this.restoreAtEach = restoreAtEach;
        this.listeners = List.of(listeners);
    }

    /** Begins at this snapshot, counted from 1. */
    public Player from(long snapshot) {
        from = snapshot;
        return this;
    }

    /** Plays no event after this one, counted from 1, and none of a later time (nanoseconds). */
    public Player until(long number, long time) {
        until = number;
        untilTime = time;
        return this;
    }

    /**
     * Plays by these routes (none where null) in place of the captured ones, anew from each snapshot, so that each stretch
     * tells where decisions first part. What was under way at a snapshot keeps its rules.
     */
    public Player under(Routes others) {
        otherRoutes = true;
        restoreAtEach = true;
        routes = others;
        return this;
    }

    @Override
    public void accept(Entry entry) {
        if (entry instanceof Entry.Told told) {
            if (events + skipped >= until || told.now() > untilTime) {
                done = true;
            }
            if (!done) {
                told(told);
            }
        } else if (entry instanceof Entry.Known known && !done) {
            known(known);
        } else if (entry instanceof Entry.Damage damage && !done) {
            damages++;
            module = null;
            listeners.forEach(l -> l.damaged(damage));
        }
    }

    private void known(Entry.Known known) {
        if (++snapshots < from) {
            return;
        }
        missed += known.missed() == null ? 0 : known.missed().events();
        boolean follows = module != null && known.missed() == null && known.run().equals(run);
        if (follows && !restoreAtEach) {
            JsonNode own = Documents.tree(module.snapshot());
            String parts = parts("", own, Documents.tree(known.snapshot()));
            if (parts != null) {
                differ(known.now(), null, List.of(), "what is known at a snapshot differs: " + parts);
                follows = false;
            }
        }
        if (!follows || restoreAtEach) {
            anew++;
            run = known.run();
            try {
                module = RatioBalancer.restore(known.settings(), known.snapshot(), watch);
                if (otherRoutes) {
                    module.handle(known.now(), new NewRoutes(routes));
                }
            } catch (IllegalArgumentException e) {
                module = null;
                differ(known.now(), null, List.of(), "a snapshot is refused: " + e.getMessage());
            }
        }
        boolean made = !follows;
        listeners.forEach(l -> l.known(known, made));
    }

    private void told(Entry.Told told) {
        if (module == null) {
            skipped++;
            return;
        }
        events++;
        if (otherRoutes && told.event() instanceof NewRoutes) {
            return;
        }
        firstAt = Math.min(firstAt, told.now());
        lastAt = Math.max(lastAt, told.now());
        listeners.forEach(l -> l.playing(told));
        List<Action> own = module.handle(told.now(), told.event());
        actions += own.size();
        listeners.forEach(l -> l.played(events + skipped, told, own));
        if (!own.equals(told.actions())) {
            differ(told.now(), told, own, "decisions differ");
            // What follows would differ by this one; the next snapshot is a new beginning.
            module = null;
        }
    }

    private void differ(long at, Entry.Told told, List<Action> own, String what) {
        differences.add(new Difference(events + skipped, at, told, own, what));
    }

    /** The first part of two trees that is not the same, as a path with both values; null where there is none. */
    private static String parts(String path, JsonNode own, JsonNode captured) {
        if (own.equals(captured)) {
            return null;
        }
        if (own.isObject() && captured.isObject()) {
            for (Map.Entry<String, JsonNode> part : own.properties()) {
                String found = parts(path + "/" + part.getKey(), part.getValue(), captured.path(part.getKey()));
                if (found != null) {
                    return found;
                }
            }
        }
        if (own.isArray() && captured.isArray() && own.size() == captured.size()) {
            for (int i = 0; i < own.size(); i++) {
                String found = parts(path + "/" + i, own.get(i), captured.get(i));
                if (found != null) {
                    return found;
                }
            }
        }
        return path + ": " + own + " here, " + captured + " in the capture";
    }

    /** What the module knows after the last event played; null where none was. */
    public Snapshot snapshot() {
        return module == null ? null : module.snapshot();
    }

    public List<Difference> differences() {
        return List.copyOf(differences);
    }

    /** Events played, and held against the capture. */
    public long events() {
        return events;
    }

    /** Events that could not be played, for want of a snapshot before them. */
    public long skipped() {
        return skipped;
    }

    public long actions() {
        return actions;
    }

    public long snapshots() {
        return snapshots;
    }

    /** How often the module was made from a snapshot. */
    public long beginnings() {
        return anew;
    }

    public long damages() {
        return damages;
    }

    /** Events that the capture says were not written. */
    public long missed() {
        return missed;
    }

    /** Nanoseconds from the first event played to the last. */
    public long span() {
        return Math.max(0, lastAt - firstAt);
    }

    /** The node's clock at the first event played, nanoseconds; the most there is where none was. */
    public long firstAt() {
        return firstAt;
    }
}

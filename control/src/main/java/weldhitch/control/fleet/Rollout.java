package weldhitch.control.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A change that goes over many instances in waves, one site after another, with a share of each site away at most. A wave
 * begins when all of the one before are ready again; the first that is not ends the rollout, and what was changed is
 * named so that it can be changed back.
 */
public final class Rollout {
    /** Where it stands. */
    public enum State { GOING, DONE, FAILED, STOPPED }

    private final Deque<List<String>> waves = new ArrayDeque<>();
    private final Set<String> away = new LinkedHashSet<>();
    private final List<String> changed = new ArrayList<>();
    private State state = State.GOING;
    private String reason = "";

    /**
     * @param fleet all instances: the share is of these, not of those that are to change
     * @param targets those that are to change
     * @param mostAway share of a site's instances, over 0 and up to 1, that may be away at once; one always may
     */
    public Rollout(List<Instance> fleet, Set<String> targets, double mostAway) {
        if (!(mostAway > 0 && mostAway <= 1)) {
            throw new IllegalArgumentException("wanted: a share over 0 and up to 1");
        }
        Map<String, List<Instance>> sites = new LinkedHashMap<>();
        fleet.forEach(i -> sites.computeIfAbsent(i.site(), s -> new ArrayList<>()).add(i));
        sites.values().forEach(site -> waves(site, targets, mostAway));
        if (waves.isEmpty()) {
            state = State.DONE;
        }
    }

    private void waves(List<Instance> site, Set<String> targets, double mostAway) {
        // One that is away already and not to change takes a place for as long as the rollout goes.
        long awayAnyway = site.stream().filter(i -> !i.ready() && !targets.contains(i.name())).count();
        int size = (int) Math.max(1, Math.floor(mostAway * site.size() + 1e-9) - awayAnyway);
        List<String> wave = new ArrayList<>();
        for (Instance i : site) {
            if (targets.contains(i.name())) {
                wave.add(i.name());
                if (wave.size() == size) {
                    waves.add(List.copyOf(wave));
                    wave.clear();
                }
            }
        }
        if (!wave.isEmpty()) {
            waves.add(List.copyOf(wave));
        }
    }

    /** The next wave to change now; empty while one is under way and when it has ended. */
    public List<String> next() {
        if (state != State.GOING || !away.isEmpty()) {
            return List.of();
        }
        List<String> wave = waves.remove();
        away.addAll(wave);
        changed.addAll(wave);
        return wave;
    }

    /** An instance of the wave is ready again, changed. */
    public void ready(String name) {
        if (away.remove(name) && away.isEmpty() && waves.isEmpty() && state == State.GOING) {
            state = State.DONE;
        }
    }

    /** An instance of the wave did not change or did not come back. */
    public void failed(String name, String why) {
        if (away.contains(name) && state == State.GOING) {
            state = State.FAILED;
            reason = name + ": " + why;
        }
    }

    /** Begins no further wave; what is under way is not called back. */
    public void stop(String why) {
        if (state == State.GOING) {
            state = State.STOPPED;
            reason = why;
        }
    }

    public State state() {
        return state;
    }

    /** Why it failed or was stopped; empty otherwise. */
    public String reason() {
        return reason;
    }

    /** Those that were changed or begun, the last first: the order in which to change them back. */
    public List<String> toChangeBack() {
        List<String> back = new ArrayList<>(changed);
        java.util.Collections.reverse(back);
        return state == State.FAILED ? back : List.of();
    }
}

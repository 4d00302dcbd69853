package weldhitch.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A rolling update of many instances in waves, one site after another, with a bounded fraction of each site unavailable
 * at once. A wave starts when all instances of the previous one are ready again. The first instance that fails ends the
 * rollout, and the updated instances are listed for a rollback.
 *
 * <p>Not thread-safe.
 */
public final class Rollout {
    /** The progress of a rollout. */
    public enum State {
        RUNNING,
        COMPLETED,
        FAILED,
        STOPPED
    }

    private final Deque<List<String>> pendingWaves = new ArrayDeque<>();
    private final Set<String> currentWave = new LinkedHashSet<>();
    private final List<String> updated = new ArrayList<>();
    private State state = State.RUNNING;
    private String reason = "";

    /**
     * Plans the waves.
     *
     * @param fleet all instances; the fraction refers to these and not to the targets
     * @param targets names of the instances to update
     * @param maxUnavailableFraction fraction of a site's instances, above 0 and up to 1, that may be unavailable at
     *     once; one instance always may
     */
    public Rollout(List<Instance> fleet, Set<String> targets, double maxUnavailableFraction) {
        if (!(maxUnavailableFraction > 0 && maxUnavailableFraction <= 1)) {
            throw new IllegalArgumentException("maxUnavailableFraction: expected above 0 and up to 1");
        }
        Map<String, List<Instance>> sites = new LinkedHashMap<>();
        fleet.forEach(instance -> sites.computeIfAbsent(instance.site(), newSite -> new ArrayList<>())
                .add(instance));
        sites.values().forEach(site -> planWaves(site, targets, maxUnavailableFraction));
        if (pendingWaves.isEmpty()) {
            state = State.COMPLETED;
        }
    }

    private void planWaves(List<Instance> site, Set<String> targets, double maxUnavailableFraction) {
        // Instances of the site that are already unavailable and are not targets reduce the size of all its waves.
        long alreadyUnavailable = site.stream()
                .filter(instance -> !instance.ready() && !targets.contains(instance.name()))
                .count();
        int waveSize = (int) Math.max(1, Math.floor(maxUnavailableFraction * site.size() + 1e-9) - alreadyUnavailable);
        List<String> wave = new ArrayList<>();
        for (Instance instance : site) {
            if (targets.contains(instance.name())) {
                wave.add(instance.name());
                if (wave.size() == waveSize) {
                    pendingWaves.add(List.copyOf(wave));
                    wave.clear();
                }
            }
        }
        if (!wave.isEmpty()) {
            pendingWaves.add(List.copyOf(wave));
        }
    }

    /**
     * Starts the next wave and returns its instances. Returns none while a wave is in progress and after the rollout
     * has ended.
     */
    public List<String> nextWave() {
        if (state != State.RUNNING || !currentWave.isEmpty()) {
            return List.of();
        }
        List<String> wave = pendingWaves.remove();
        currentWave.addAll(wave);
        updated.addAll(wave);
        return wave;
    }

    /** Reports that an instance of the current wave is updated and ready again. */
    public void markReady(String name) {
        if (currentWave.remove(name) && currentWave.isEmpty() && pendingWaves.isEmpty() && state == State.RUNNING) {
            state = State.COMPLETED;
        }
    }

    /** Reports that an instance of the current wave was not updated or did not become ready again. */
    public void markFailed(String name, String cause) {
        if (currentWave.contains(name) && state == State.RUNNING) {
            state = State.FAILED;
            reason = name + ": " + cause;
        }
    }

    /** Stops the rollout: no more waves are started, but the current wave is not cancelled. */
    public void stop(String cause) {
        if (state == State.RUNNING) {
            state = State.STOPPED;
            reason = cause;
        }
    }

    /** Returns the progress of the rollout. */
    public State state() {
        return state;
    }

    /** Returns why the rollout failed or was stopped; empty otherwise. */
    public String reason() {
        return reason;
    }

    /**
     * Returns the instances whose update was completed or started, the latest first, which is the order for a rollback.
     * Empty unless the rollout failed.
     */
    public List<String> rollbackOrder() {
        List<String> reversed = new ArrayList<>(updated);
        Collections.reverse(reversed);
        return state == State.FAILED ? reversed : List.of();
    }
}

package weldhitch.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import weldhitch.rollout.Rollout.State;

/** Tests selection, minimum capacity, rolling updates and restart backoff. */
class RolloutDecisionsTest {
    private static final long SECOND = 1_000_000_000L;

    private static Instance instance(String name, String site, int tier, boolean ready) {
        return new Instance(name, site, tier, Map.of("rack", name.substring(name.length() - 1)), ready);
    }

    private static List<Instance> fleet(int perSite) {
        List<Instance> instances = new ArrayList<>();
        for (String site : List.of("gasabo", "huye", "rubavu")) {
            for (int i = 0; i < perSite; i++) {
                instances.add(instance(site + "-" + i, site, i % 2, true));
            }
        }
        return instances;
    }

    private static List<String> names(List<Instance> selected) {
        return selected.stream().map(Instance::name).toList();
    }

    @Test
    void selectorMatchesInstancesThatMeetEveryCondition() {
        List<Instance> instances = fleet(3);
        assertEquals(
                9,
                new InstanceSelector(null, Set.of(), Set.of(), Map.of())
                        .selectFrom(instances)
                        .size());
        assertEquals(
                List.of("gasabo-1", "huye-1", "rubavu-1"),
                names(new InstanceSelector("*-1", Set.of(), Set.of(), Map.of()).selectFrom(instances)));
        assertEquals(
                List.of("huye-1"),
                names(new InstanceSelector("h?y*-?", Set.of("huye", "gasabo"), Set.of(1), Map.of("rack", "1"))
                        .selectFrom(instances)));
        assertEquals(List.of(), new InstanceSelector("huye", Set.of(), Set.of(), Map.of()).selectFrom(instances));
        assertEquals(
                List.of(), new InstanceSelector(null, Set.of(), Set.of(), Map.of("floor", "1")).selectFrom(instances));
        assertEquals(
                1,
                new InstanceSelector("a*a*a*a*a*a*b", Set.of(), Set.of(), Map.of())
                        .selectFrom(List.of(instance("a".repeat(5000) + "b", "x", 0, true)))
                        .size());
    }

    @Test
    void drainThatExceedsCapacityReportsWhatWouldRemain() {
        List<Instance> instances = fleet(4);
        CapacityGuard guard = new CapacityGuard(0.5);
        assertEquals(List.of(), guard.findShortages(instances, Set.of("huye-0", "huye-1")));
        List<CapacityGuard.Shortage> shortages = guard.findShortages(instances, Set.of("huye-0", "huye-1", "huye-2"));
        assertEquals(
                List.of("site huye: 1 of 4 would be ready (4 are now), 2 needed"),
                shortages.stream().map(CapacityGuard.Shortage::toString).toList());
        Set<String> evens = Set.of("gasabo-0", "gasabo-2", "huye-0", "huye-2", "rubavu-0", "rubavu-2");
        assertEquals(
                List.of("tier 0"),
                guard.findShortages(instances, evens).stream()
                        .map(CapacityGuard.Shortage::group)
                        .toList());
    }

    @Test
    void groupBelowItsMinimumBlocksOnlyMoreRemovals() {
        List<Instance> instances = List.of(
                instance("a", "x", 0, false),
                instance("b", "x", 0, false),
                instance("c", "x", 0, true),
                instance("d", "y", 1, true),
                instance("e", "y", 1, true));
        CapacityGuard guard = new CapacityGuard(0.5);
        assertEquals(
                List.of(), guard.findShortages(instances, Set.of("a", "d")), "an unavailable instance has no capacity");
        assertEquals(2, guard.findShortages(instances, Set.of("c")).size(), "expected a shortage of site and tier");
    }

    @Test
    void rolloutKeepsWithinMaxUnavailableAndEndsAtTheFirstFailure() {
        for (int seed = 0; seed < 500; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<Instance> instances = new ArrayList<>();
            Set<String> targets = new HashSet<>();
            for (int i = 0; i < 1 + random.nextInt(30); i++) {
                instances.add(instance("n" + i, "s" + random.nextInt(4), 0, random.nextInt(10) > 0));
                if (random.nextInt(4) > 0) {
                    targets.add("n" + i);
                }
            }
            double maxUnavailableFraction = 0.05 + 0.5 * random.nextDouble();
            Rollout rollout = new Rollout(instances, targets, maxUnavailableFraction);
            Set<String> updated = new HashSet<>();
            boolean mayFail = random.nextInt(3) == 0;
            while (rollout.state() == State.RUNNING) {
                List<String> wave = rollout.nextWave();
                assertTrue(!wave.isEmpty(), "seed " + seed + " makes no progress");
                assertEquals(
                        1,
                        instances.stream()
                                .filter(i -> wave.contains(i.name()))
                                .map(Instance::site)
                                .distinct()
                                .count());
                String site = instances.stream()
                        .filter(i -> wave.contains(i.name()))
                        .findFirst()
                        .orElseThrow()
                        .site();
                long siteSize =
                        instances.stream().filter(i -> i.site().equals(site)).count();
                long otherUnavailable = instances.stream()
                        .filter(i -> i.site().equals(site) && !i.ready() && !targets.contains(i.name()))
                        .count();
                assertTrue(
                        wave.size() == 1 || wave.size() + otherUnavailable <= maxUnavailableFraction * siteSize + 1e-6,
                        "the wave exceeds the maximum unavailable fraction, seed " + seed);
                assertEquals(List.of(), rollout.nextWave(), "a wave starts before the previous one is ready");
                for (String name : wave) {
                    if (mayFail && random.nextInt(5) == 0) {
                        rollout.markFailed(name, "not ready after 30 s");
                        assertEquals(State.FAILED, rollout.state());
                        assertTrue(rollout.rollbackOrder().containsAll(updated)
                                && rollout.rollbackOrder().containsAll(wave));
                        assertTrue(rollout.reason().startsWith(name));
                        break;
                    }
                    rollout.markReady(name);
                    assertTrue(updated.add(name), "an instance is updated twice");
                }
            }
            assertEquals(List.of(), rollout.nextWave());
            assertTrue(rollout.state() == State.FAILED || updated.equals(targets), "targets not updated, seed " + seed);
        }
    }

    @Test
    void stoppedRolloutStartsNoMoreWaves() {
        Rollout rollout = new Rollout(fleet(4), Set.of("huye-0", "huye-1", "huye-2"), 0.3);
        assertEquals(List.of("huye-0"), rollout.nextWave());
        rollout.stop("interrupted");
        rollout.markReady("huye-0");
        assertEquals(List.of(), rollout.nextWave());
        assertEquals(State.STOPPED, rollout.state());
        assertEquals("interrupted", rollout.reason());
    }

    @Test
    void restartDelayDoublesUpToItsMaximumAndResetsAfterAStableRun() {
        RestartBackoff backoff = new RestartBackoff(SECOND, 8 * SECOND, 60 * SECOND, 7, 600 * SECOND);
        long now = 0;
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            backoff.onStarted(now);
            now += SECOND;
            delays.add(backoff.onExited(now) / SECOND);
            now += delays.get(i) * SECOND;
        }
        assertEquals(List.of(1L, 2L, 4L, 8L, 8L), delays);
        backoff.onStarted(now);
        now += 60 * SECOND;
        assertEquals(SECOND, backoff.onExited(now));
        backoff.onStarted(now);
        assertEquals(-1, backoff.onExited(now + SECOND), "expected a crash loop after seven exits in ten minutes");
        backoff.reset();
        backoff.onStarted(now);
        assertEquals(SECOND, backoff.onExited(now + SECOND));
    }

    @Test
    void exitsFarApartAreNotACrashLoop() {
        RestartBackoff backoff = new RestartBackoff(SECOND, 8 * SECOND, 60 * SECOND, 3, 100 * SECOND);
        for (int i = 0; i < 50; i++) {
            long now = i * 80 * SECOND;
            backoff.onStarted(now - 70 * SECOND);
            assertEquals(SECOND, backoff.onExited(now));
        }
    }
}

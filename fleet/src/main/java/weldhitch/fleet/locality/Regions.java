package weldhitch.fleet.locality;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Regions as named sets of zones; a zone is in one region at most. Immutable.
 *
 * @param zones the zones of each region, by its name
 */
public record Regions(Map<String, Set<String>> zones) {
    /**
     * Copies the map in sorted order.
     *
     * @throws IllegalArgumentException if a zone is in two regions; the message names it
     */
    public Regions {
        Map<String, String> regionByZone = new TreeMap<>();
        Map<String, Set<String>> zonesByRegion = new TreeMap<>();
        new TreeMap<>(zones).forEach((region, some) -> {
            some.forEach(zone -> {
                String otherRegion = regionByZone.putIfAbsent(zone, region);
                if (otherRegion != null) {
                    throw new IllegalArgumentException(
                            "zone " + zone + " is in region " + otherRegion + " and in " + region);
                }
            });
            zonesByRegion.put(region, Collections.unmodifiableSet(new TreeSet<>(some)));
        });
        zones = Collections.unmodifiableMap(zonesByRegion);
    }

    /** The region of a zone, or null. */
    public String regionOf(String zone) {
        return zones.entrySet().stream()
                .filter(r -> r.getValue().contains(zone))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    /**
     * The zones of each priority level of a rule as seen from {@code ownZone}; each zone is in the first
     * level that names it. A level without an available zone is left out, except for the first, so that the
     * level after a lost zone does not become the first.
     *
     * @param availableZones zones that have endpoints
     */
    public List<Set<String>> priorityLevels(LocalityRule rule, String ownZone, Set<String> availableZones) {
        Set<String> assignedZones = new LinkedHashSet<>();
        List<Set<String>> levels = new ArrayList<>();
        for (String preference : rule.preferences()) {
            Set<String> level = new TreeSet<>(
                    switch (preference) {
                        case LocalityRule.OWN_ZONE -> Set.of(ownZone);
                        case LocalityRule.OWN_REGION ->
                            regionOf(ownZone) == null ? Set.of(ownZone) : zones.get(regionOf(ownZone));
                        case LocalityRule.ANY -> availableZones;
                        default -> zones.getOrDefault(preference, Set.of());
                    });
            level.removeIf(zone -> assignedZones.contains(zone) || isForbidden(rule, zone));
            if (!levels.isEmpty()) {
                level.retainAll(availableZones);
            }
            assignedZones.addAll(level);
            if (levels.isEmpty() || !level.isEmpty()) {
                levels.add(level);
            }
        }
        return levels;
    }

    private boolean isForbidden(LocalityRule rule, String zone) {
        String region = regionOf(zone);
        return rule.forbidden().contains(zone)
                || region != null && rule.forbidden().contains(region);
    }
}

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
 * Regions as named sets of zones. Each zone is in at most one region. Immutable.
 *
 * @param zones the zones of each region, by region name
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
        new TreeMap<>(zones).forEach((region, regionZones) -> {
            regionZones.forEach(zone -> {
                String otherRegion = regionByZone.putIfAbsent(zone, region);
                if (otherRegion != null) {
                    throw new IllegalArgumentException(
                            "zone " + zone + " is in region " + otherRegion + " and in " + region);
                }
            });
            zonesByRegion.put(region, Collections.unmodifiableSet(new TreeSet<>(regionZones)));
        });
        zones = Collections.unmodifiableMap(zonesByRegion);
    }

    /** Returns the region of a zone, or null. */
    public String regionOf(String zone) {
        return zones.entrySet().stream()
                .filter(r -> r.getValue().contains(zone))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    /**
     * Returns the zones of each priority level of a rule as seen from {@code ownZone}. Each zone is in the first level
     * that includes it. A level without an available zone is omitted unless it is the first, so that the next level
     * does not become the first when a zone is lost.
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

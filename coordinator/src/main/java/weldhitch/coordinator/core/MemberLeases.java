package weldhitch.coordinator.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The leases that this leader has granted to members.
 *
 * <p>Not thread-safe; owned by {@link CoordinatorCore}. Times are nanoseconds of this process's monotonic clock.
 */
final class MemberLeases {
    private final long leaseDuration;
    private final Map<String, Long> grantedAt = new HashMap<>();

    MemberLeases(long leaseDuration) {
        this.leaseDuration = leaseDuration;
    }

    void grant(String member, long now) {
        grantedAt.put(member, now);
    }

    void clear() {
        grantedAt.clear();
    }

    /** Returns the members whose lease is valid at {@code now}. */
    Set<String> holders(long now) {
        Set<String> holders = new HashSet<>();
        grantedAt.forEach((member, since) -> {
            if (now - since < leaseDuration) {
                holders.add(member);
            }
        });
        return holders;
    }
}

package weldhitch.simulator.whatif;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The times at which requests of each class ended unserved, added in order of time. Not thread-safe. Times are in
 * nanoseconds.
 */
final class UnservedRequests {
    private final Map<String, List<Long>> timesByClass = new LinkedHashMap<>();

    void add(String requestClass, long at) {
        timesByClass
                .computeIfAbsent(String.valueOf(requestClass), c -> new ArrayList<>())
                .add(at);
    }

    /**
     * Counts the requests that ended unserved in the second before this time, inclusive. They include the requests
     * whose retries arrive at this time.
     */
    int countInLastSecond(String requestClass, long at) {
        List<Long> times = timesByClass.getOrDefault(String.valueOf(requestClass), List.of());
        return countUpTo(times, at) - countUpTo(times, at - CapturedAttempts.WINDOW_NANOS);
    }

    private static int countUpTo(List<Long> times, long at) {
        int low = 0;
        int high = times.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (times.get(middle) <= at) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}

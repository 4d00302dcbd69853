package weldhitch.node;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of ended requests that may have been executed and must not be executed again. An id is remembered for
 * {@link #RETENTION_NANOS}, unless more than {@link #MAX_IDS} others come in that time. Performs no I/O and reads no
 * clock; not thread-safe, confined to the event loop.
 */
final class ExecutedRequestIds {
    /** As long as a client may wait for a request. */
    static final long RETENTION_NANOS = ClientRequestParser.MAX_REQUEST_TIMEOUT_NANOS;

    static final int MAX_IDS = 16 * 1024;

    /** The time at which each id was added, oldest first. */
    private final Map<String, Long> addedAt = new LinkedHashMap<>();

    /** Remembers an id from now on. */
    void add(String id, long now) {
        addedAt.remove(id);
        addedAt.put(id, now);
        Iterator<Long> oldest = addedAt.values().iterator();
        while (addedAt.size() > MAX_IDS || now - addedAt.values().iterator().next() > RETENTION_NANOS) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns whether the id is remembered. */
    boolean contains(String id, long now) {
        Long added = addedAt.get(id);
        return added != null && now - added <= RETENTION_NANOS;
    }
}

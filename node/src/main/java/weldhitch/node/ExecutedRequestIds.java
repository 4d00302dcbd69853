package weldhitch.node;

import io.netty.util.collection.LongObjectHashMap;

/**
 * The ids of ended requests that may have been executed and must not be executed again. Keeps a 64-bit hash of each id
 * in two generations, the older of which is dropped as a whole: an id is remembered for {@link #RETENTION_NANOS} at
 * least, unless {@link #MAX_IDS_PER_GENERATION} others come in that time. Performs no I/O and reads no clock; not
 * thread-safe, confined to the event loop.
 */
final class ExecutedRequestIds {
    /** As long as a client may wait for a request. */
    static final long RETENTION_NANOS = ClientRequestParser.MAX_REQUEST_TIMEOUT_NANOS;

    static final int MAX_IDS_PER_GENERATION = 16 * 1024;

    private static final long HASH_OFFSET = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;

    /** The hashes of the ids, as keys; the values mean nothing. */
    private LongObjectHashMap<Boolean> current = new LongObjectHashMap<>();

    private LongObjectHashMap<Boolean> previous = new LongObjectHashMap<>();
    /** The time at which the first id was added to the current generation. */
    private long currentSince;

    /** Remembers an id from now on. */
    void add(String id, long now) {
        if (current.size() > 0 && now - currentSince >= RETENTION_NANOS || current.size() >= MAX_IDS_PER_GENERATION) {
            LongObjectHashMap<Boolean> dropped = previous;
            previous = current;
            current = dropped;
            current.clear();
        }
        if (current.size() == 0) {
            currentSince = now;
        }
        current.put(hash(id), Boolean.TRUE);
    }

    /** Returns whether the id is remembered; it may be for up to twice the retention time. */
    boolean contains(String id) {
        long hash = hash(id);
        return current.containsKey(hash) || previous.containsKey(hash);
    }

    /** Returns the FNV-1a hash of the text, with a finalizer that spreads it over all bits. */
    private static long hash(String text) {
        long hash = HASH_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * HASH_PRIME;
        }
        hash = (hash ^ (hash >>> 32)) * 0xd6e8feb86659fd93L;
        return hash ^ (hash >>> 32);
    }
}

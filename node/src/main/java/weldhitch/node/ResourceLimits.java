package weldhitch.node;

/**
 * The limits on connections and on memory for bodies, derived from the descriptor limit and the heap size. Shared by
 * the connections of one node; not thread-safe, confined to the event loop.
 */
final class ResourceLimits {
    private static final int RESERVED_DESCRIPTORS = 64;
    /**
     * The fraction of the memory that is reserved for small bodies, so that a few long uploads do not block all others.
     */
    private static final double RESERVED_FOR_SMALL_BODIES = 0.25;

    private static final int SMALL_BODY_BYTES = 64 * 1024;

    private final long maxBytes;
    private long reservedBytes;
    final int maxClientConnections;
    final int maxActiveClients;
    final int maxServerConnections;

    ResourceLimits(int descriptors, long heapBytes) {
        int usableDescriptors = Math.max(16, descriptors - RESERVED_DESCRIPTORS);
        maxServerConnections = usableDescriptors / 3;
        maxClientConnections = usableDescriptors - maxServerConnections;
        maxActiveClients = maxClientConnections * 4 / 5;
        maxBytes = heapBytes * 11 / 20;
    }

    /** Reserves bytes for a body that already holds {@code alreadyReserved}; returns false if the limit is reached. */
    boolean tryReserve(int requestedBytes, long alreadyReserved) {
        long availableBytes = alreadyReserved + requestedBytes <= SMALL_BODY_BYTES
                ? maxBytes
                : (long) (maxBytes * (1 - RESERVED_FOR_SMALL_BODIES));
        if (reservedBytes + requestedBytes > availableBytes) {
            return false;
        }
        reservedBytes += requestedBytes;
        return true;
    }

    void release(long releasedBytes) {
        reservedBytes -= releasedBytes;
    }

    long reservedBytes() {
        return reservedBytes;
    }
}

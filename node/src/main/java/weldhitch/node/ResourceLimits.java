package weldhitch.node;

/**
 * The limits on connections and on memory for heads, bodies and unread responses, derived from the descriptor limit and
 * the heap size. Shared by the connections of one node; not thread-safe, confined to the event loop.
 */
final class ResourceLimits {
    private static final int RESERVED_DESCRIPTORS = 64;
    /**
     * The fraction of the memory that is reserved for small bodies, so that a few long uploads do not block all others.
     */
    private static final double RESERVED_FOR_SMALL_BODIES = 0.25;

    /** The fraction of the memory above which no further request is accepted; the rest is left for responses. */
    private static final double MAX_ACCEPTING_FRACTION = 0.85;
    /** The fraction of the memory above which clients that do not read their responses are given less time. */
    private static final double PRESSURE_FRACTION = 0.5;

    private static final int SMALL_BODY_BYTES = 64 * 1024;

    /** Memory that a node takes in addition to its heap, with the part of the heap that is never free. */
    private static final long RESERVED_PROCESS_BYTES = 78L << 20;
    /** Heap that is used even if the memory limit leaves none. */
    private static final long MIN_USABLE_HEAP_BYTES = 8L << 20;

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

    /**
     * Returns how much heap a node may use so that its process stays within its memory limit.
     *
     * @param maxHeapBytes the maximum size of the heap
     * @param memoryLimitBytes the memory limit of the process
     */
    static long usableHeap(long maxHeapBytes, long memoryLimitBytes) {
        long leftForHeap = Math.max(MIN_USABLE_HEAP_BYTES, memoryLimitBytes - RESERVED_PROCESS_BYTES);
        return Math.min(maxHeapBytes, leftForHeap);
    }

    /**
     * Reserves bytes that are held already and cannot be refused any more, so that later requests for memory are
     * refused instead.
     */
    void reserve(long heldBytes) {
        reservedBytes += heldBytes;
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

    /** Returns whether there is memory for a further request and its response. */
    boolean acceptsRequests() {
        return reservedBytes < maxBytes * MAX_ACCEPTING_FRACTION;
    }

    /** Returns whether memory is scarce. */
    boolean underPressure() {
        return reservedBytes > maxBytes * PRESSURE_FRACTION;
    }

    long maxBytes() {
        return maxBytes;
    }

    void release(long releasedBytes) {
        reservedBytes -= releasedBytes;
    }

    long reservedBytes() {
        return reservedBytes;
    }
}

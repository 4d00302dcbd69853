package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how much memory {@link ResourceLimits} lets a node use. */
class ResourceLimitsTest {
    private static final long MEGABYTE = 1L << 20;

    @Test
    void usableHeapIsWhatTheProcessLimitLeaves() {
        assertEquals(104 * MEGABYTE, ResourceLimits.usableHeap(104 * MEGABYTE, 192 * MEGABYTE));
        assertEquals(104 * MEGABYTE, ResourceLimits.usableHeap(104 * MEGABYTE, Long.MAX_VALUE));
        assertEquals(18 * MEGABYTE, ResourceLimits.usableHeap(104 * MEGABYTE, 96 * MEGABYTE));
        assertEquals(8 * MEGABYTE, ResourceLimits.usableHeap(104 * MEGABYTE, 32 * MEGABYTE));
    }

    @Test
    void requestsAreAcceptedWhileThereIsMemoryForTheirResponses() {
        ResourceLimits limits = new ResourceLimits(1024, 64 * MEGABYTE);
        assertTrue(limits.acceptsRequests());
        assertFalse(limits.underPressure());
        limits.reserve(limits.maxBytes() * 6 / 10);
        assertTrue(limits.acceptsRequests());
        assertTrue(limits.underPressure());
        limits.reserve(limits.maxBytes() * 3 / 10);
        assertFalse(limits.acceptsRequests());
        assertTrue(limits.tryReserve(1, 0), "a response may use the rest");
    }
}

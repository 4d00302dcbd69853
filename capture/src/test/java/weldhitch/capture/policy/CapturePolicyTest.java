package weldhitch.capture.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldhitch.capture.policy.RetentionPolicy.SegmentSize;
import weldhitch.capture.policy.TapPolicy.Decision;

/** Tests the capture policies: dropping events on the node's side, writing and retrying, and retention. */
class CapturePolicyTest {
    private static final long SECOND = CaptureLimits.NANOS_PER_SECOND;
    private static final CaptureLimits LIMITS = new CaptureLimits(1 << 20, 100 * SECOND, 4 << 20, 10 * SECOND, 64);

    @Test
    void startsWithSnapshotAndRepeatsAtInterval() {
        TapPolicy policy = new TapPolicy(10 * SECOND, 64);
        assertEquals(Decision.SNAPSHOT_FIRST, policy.decide(0, 0, true, 0));
        assertNull(policy.takeDropped());
        assertEquals(Decision.ENQUEUE, policy.decide(10 * SECOND - 1, 0, true, 0));
        assertEquals(Decision.SNAPSHOT_FIRST, policy.decide(10 * SECOND, 0, true, 0));
        assertEquals(Decision.ENQUEUE, policy.decide(10 * SECOND, 0, true, 0));
        // A snapshot request of the writer is handled once.
        assertEquals(Decision.SNAPSHOT_FIRST, policy.decide(11 * SECOND, 0, true, 1));
        assertEquals(Decision.ENQUEUE, policy.decide(11 * SECOND, 0, true, 1));
        // A clock that jumps back does not delay the next snapshot.
        assertEquals(Decision.SNAPSHOT_FIRST, policy.decide(2 * SECOND, 0, true, 1));
    }

    @Test
    void dropsEventsWhenQueueIsFullAndResumesAtHalfCapacity() {
        TapPolicy policy = new TapPolicy(10 * SECOND, 64);
        policy.decide(0, 0, true, 0);
        assertEquals(Decision.ENQUEUE, policy.decide(1, 62, true, 0));
        assertEquals(Decision.DROP, policy.decide(2, 63, true, 0));
        assertEquals(Decision.DROP, policy.decide(3, 40, true, 0));
        assertEquals(Decision.DROP, policy.decide(5, 33, true, 0));
        assertEquals(Decision.SNAPSHOT_FIRST, policy.decide(6, 32, true, 0));
        assertEquals(new DroppedEvents(2, 5, 3), policy.takeDropped());
        assertNull(policy.takeDropped());
        assertEquals(Decision.ENQUEUE, policy.decide(7, 50, true, 0));
    }

    @Test
    void dropsAllEventsWhileWriterIsNotReady() {
        TapPolicy policy = new TapPolicy(10 * SECOND, 64);
        assertEquals(Decision.DROP, policy.decide(1, 0, false, 0));
        assertEquals(Decision.DROP, policy.decide(2, 0, false, 0));
        assertEquals(Decision.SNAPSHOT_FIRST, policy.decide(3, 0, true, 0));
        assertEquals(new DroppedEvents(1, 2, 2), policy.takeDropped());
        policy.onEventFailed(4);
        assertEquals(Decision.SNAPSHOT_FIRST, policy.decide(5, 0, true, 0));
        assertEquals(new DroppedEvents(4, 4, 1), policy.takeDropped());
    }

    @Test
    void retriesWithExponentialBackoffAndReportsFailureOnce() {
        WriterPolicy policy = new WriterPolicy(LIMITS);
        assertTrue(policy.shouldOpenSegment(0));
        assertTrue(policy.onWriteFailed(0));
        long[] backoffs = {1, 2, 4, 8, 16, 30, 30};
        long now = 0;
        for (long backoff : backoffs) {
            assertFalse(policy.shouldOpenSegment(now + backoff * SECOND - 1));
            now += backoff * SECOND;
            assertTrue(policy.shouldOpenSegment(now));
            assertFalse(policy.onWriteFailed(now));
        }
        policy.onSegmentOpened(now);
        // Opening a file does not prove that it can be written, so the failure is not reported again.
        assertFalse(policy.onWriteFailed(now));
        policy.onSegmentOpened(now);
        policy.onSnapshotAdded(now, null);
        policy.onBlockWritten();
        assertTrue(policy.onWriteFailed(now));
        assertTrue(policy.shouldOpenSegment(now + SECOND));
    }

    @Test
    void flushesBlockWhenFullOrAfterMaxDelay() {
        WriterPolicy policy = new WriterPolicy(LIMITS);
        policy.onSegmentOpened(0);
        assertFalse(policy.shouldFlush(5 * SECOND, false));
        policy.onSnapshotAdded(5 * SECOND, null);
        policy.onEventAdded(5 * SECOND + 1, 77);
        assertFalse(policy.shouldFlush(6 * SECOND - 1, false));
        assertTrue(policy.shouldFlush(6 * SECOND - 1, true));
        assertTrue(policy.shouldFlush(6 * SECOND, false));
        policy.onBlockWritten();
        assertFalse(policy.shouldFlush(60 * SECOND, false));
    }

    @Test
    void unwrittenEventsAreCountedAsDroppedInNextSnapshot() {
        WriterPolicy policy = new WriterPolicy(LIMITS);
        policy.onSegmentOpened(0);
        assertFalse(policy.acceptsEvents());
        assertNull(policy.onSnapshotAdded(0, null));
        assertTrue(policy.acceptsEvents());
        policy.onEventAdded(1, 10);
        policy.onBlockWritten();
        policy.onEventAdded(2, 20);
        policy.onEventAdded(2, 21);
        policy.onWriteFailed(3);
        assertFalse(policy.acceptsEvents());
        policy.onEventDropped(22);
        policy.onSegmentOpened(4);
        assertFalse(policy.acceptsEvents());
        assertEquals(new DroppedEvents(20, 22, 3), policy.onSnapshotAdded(5, null));
        policy.onEventDropped(30);
        assertFalse(policy.acceptsEvents());
        assertEquals(new DroppedEvents(30, 30, 1), policy.onSnapshotAdded(6, null));
        assertNull(policy.onSnapshotAdded(7, null));
    }

    @Test
    void dropCountOfUnwrittenSnapshotIsAddedToNextSnapshot() {
        WriterPolicy policy = new WriterPolicy(LIMITS);
        policy.onSegmentOpened(0);
        policy.onEventDropped(30);
        assertEquals(new DroppedEvents(10, 30, 5), policy.onSnapshotAdded(1, new DroppedEvents(10, 20, 4)));
        policy.onEventAdded(2, 40);
        // The snapshot's block never reached the disk, and the next snapshot arrived while no segment was open.
        policy.onWriteFailed(3);
        policy.onSnapshotDropped(new DroppedEvents(41, 45, 2));
        policy.onSegmentOpened(4);
        assertEquals(new DroppedEvents(10, 45, 8), policy.onSnapshotAdded(5, null));
        policy.onBlockWritten();
        assertNull(policy.onSnapshotAdded(6, null));
    }

    @Test
    void requestsSnapshotOnceUntilOneArrives() {
        WriterPolicy policy = new WriterPolicy(LIMITS);
        policy.onSegmentOpened(0);
        policy.onSnapshotAdded(0, null);
        assertFalse(policy.shouldRequestSnapshot(SECOND, 0, false));
        assertTrue(policy.shouldRequestSnapshot(SECOND, 0, true));
        assertFalse(policy.shouldRequestSnapshot(SECOND, 0, true));
        policy.onSnapshotAdded(SECOND, null);
        assertTrue(policy.shouldRequestSnapshot(100 * SECOND, 0, false));
        assertFalse(policy.shouldRequestSnapshot(101 * SECOND, 0, false));
    }

    @Test
    void segmentRotatesBySizeOrAge() {
        WriterPolicy policy = new WriterPolicy(LIMITS);
        assertFalse(policy.shouldRotate(0, 1 << 20));
        policy.onSegmentOpened(50 * SECOND);
        assertFalse(policy.shouldRotate(150 * SECOND - 1, (1 << 20) - 1));
        assertTrue(policy.shouldRotate(150 * SECOND - 1, 1 << 20));
        assertTrue(policy.shouldRotate(150 * SECOND, 0));
    }

    @Test
    void retentionDeletesOldestButNeverActiveSegment() {
        List<SegmentSize<String>> segments = List.of(
                new SegmentSize<>("a", 30),
                new SegmentSize<>("b", 40),
                new SegmentSize<>("c", 20),
                new SegmentSize<>("d", 5));
        assertEquals(List.of(), RetentionPolicy.segmentsToDelete(segments, 105, 10));
        assertEquals(List.of("a"), RetentionPolicy.segmentsToDelete(segments, 104, 10));
        assertEquals(List.of("a", "b"), RetentionPolicy.segmentsToDelete(segments, 74, 10));
        assertEquals(List.of("a", "b", "c"), RetentionPolicy.segmentsToDelete(segments, 1, 10));
        assertEquals(List.of(), RetentionPolicy.segmentsToDelete(List.of(), 1, 10));
    }

    @Test
    void invalidLimitsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new CaptureLimits(1 << 10, SECOND, 4 << 20, SECOND, 64));
        assertThrows(IllegalArgumentException.class, () -> new CaptureLimits(1 << 20, 1, 4 << 20, SECOND, 64));
        assertThrows(IllegalArgumentException.class, () -> new CaptureLimits(1 << 20, SECOND, 1 << 20, SECOND, 64));
        assertThrows(IllegalArgumentException.class, () -> new CaptureLimits(1 << 20, SECOND, 4 << 20, SECOND, 65));
    }
}

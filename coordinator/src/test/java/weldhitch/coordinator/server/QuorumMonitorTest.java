package weldhitch.coordinator.server;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that a lost quorum is reported after three leader leases without a leader, and again while it lasts. */
class QuorumMonitorTest {
    private static final long LEASE = 100;

    private final QuorumMonitor monitor = new QuorumMonitor(LEASE);

    @Test
    void lossIsReportedAtAnIntervalWhileItLasts() {
        assertFalse(monitor.isLossReportDue(false, 1000));
        assertFalse(monitor.isLossReportDue(false, 1300));
        assertTrue(monitor.isLossReportDue(false, 1301));
        assertFalse(monitor.isLossReportDue(false, 1302));
        assertTrue(monitor.isLossReportDue(false, 1602));
    }

    @Test
    void knownLeaderRestartsTheInterval() {
        assertFalse(monitor.isLossReportDue(false, 1000));
        assertFalse(monitor.isLossReportDue(true, 1200));
        assertFalse(monitor.isLossReportDue(false, 1500));
        assertTrue(monitor.isLossReportDue(false, 1501));
    }
}

package weldhitch.fleet.activation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the time from which a member rejects all requests. */
class MemberLeaseTest {
    @Test
    void memberIsFencedBeforeItJoinsUnlessItServesItsOwnFile() {
        assertEquals(Long.MIN_VALUE, new MemberLease(true).fencedFrom());
        assertEquals(Long.MAX_VALUE, new MemberLease(false).fencedFrom());
    }

    @Test
    void requiredLeaseFencesOnceItExpires() {
        MemberLease lease = new MemberLease(true);
        lease.updateTerms(false, 100);
        lease.join();
        lease.extend(1000);
        assertEquals(Long.MAX_VALUE, lease.fencedFrom());
        lease.updateTerms(true, 100);
        assertEquals(1100, lease.fencedFrom());
    }

    @Test
    void earlierHeartbeatShortensNeitherPeriod() {
        MemberLease lease = new MemberLease(true);
        lease.updateTerms(true, 100);
        lease.join();
        lease.extend(1000);
        lease.extend(900);
        lease.extendUndecided(1000);
        lease.extendUndecided(900);
        assertEquals(1100, lease.fencedFrom());
        assertEquals(1100, lease.undecidedUntil());
    }
}

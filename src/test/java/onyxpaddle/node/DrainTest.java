package onyxpaddle.node;

import static onyxpaddle.node.Harness.get;
import static onyxpaddle.node.Harness.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import onyxpaddle.node.Harness.Message;
import onyxpaddle.node.Harness.Peer;
import onyxpaddle.node.Harness.Wire;
import org.junit.jupiter.api.Test;

/** The planned end: what is taken is answered, what still comes too, and then the node is done by itself. */
class DrainTest {
    @Test
    void allThatIsTakenIsAnsweredAndEveryClientToldToClose() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch asked = new CountDownLatch(1);
        Peer server = new Peer(wire -> {
            while (wire.head() != null) {
                asked.countDown();
                answer.await();
                wire.write(ok("x"));
            }
        });
        try (Harness h = Harness.start(server)) {
            Wire idle = h.client();
            Wire busy = h.client();
            busy.write(get("1"));
            asked.await();
            Thread drain = Harness.daemon(h.node::drain);
            Wire late = h.client();
            while (h.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200) {
                Thread.onSpinWait();
            }
            late.write(get("2"));
            assertTrue(idle.ends(), "an idle connection is closed");
            answer.countDown();
            for (Wire wire : new Wire[] {busy, late}) {
                Message m = wire.message();
                assertEquals(200, m.status());
                assertEquals("close", m.field("connection"));
                assertTrue(wire.ends());
                wire.close();
            }
            drain.join(Harness.WAIT_S * 1000L);
            assertTrue(!drain.isAlive(), "the node does not end by itself");
        }
    }
}

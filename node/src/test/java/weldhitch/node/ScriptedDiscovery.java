package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldhitch.node.NodeHarness.ok;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import weldhitch.testkit.RawHttpMessage;
import weldhitch.testkit.ScriptedServer;
import weldhitch.testkit.TestSupport;

/**
 * A discovery service whose polls the test answers one by one. The queues are thread-safe; the test thread and the
 * server's threads share them.
 */
final class ScriptedDiscovery implements AutoCloseable {
    final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
    final ScriptedServer server = new ScriptedServer(connection -> {
        for (RawHttpMessage m = connection.readMessage(); m != null; m = connection.readMessage()) {
            calls.add(m.firstLine());
            String response = responses.take();
            if (response.equals("reset")) {
                connection.reset();
            } else {
                connection.write(response);
            }
        }
    });

    ScriptedDiscovery() throws IOException {}

    String awaitCall() throws InterruptedException {
        String call = calls.poll(TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(call != null, "no poll arrived within the timeout");
        return call;
    }

    void enqueueList(int seq, boolean full, String hosts) {
        responses.add(ok("{\"seq\":" + seq + ",\"whole\":" + full + ",\"hosts\":[" + hosts + "]}"));
    }

    /** Answers the pending poll with this list and returns once the node has applied it. */
    void applyList(int seq, boolean full, String hosts) throws InterruptedException {
        enqueueList(seq, full, hosts);
        awaitCall();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}

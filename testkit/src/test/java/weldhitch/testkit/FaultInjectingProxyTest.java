package weldhitch.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.Test;
import weldhitch.testkit.FaultInjectingProxy.Direction;

/** Tests each fault of {@link FaultInjectingProxy}. */
class FaultInjectingProxyTest {
    private static TestConnection connect(FaultInjectingProxy proxy) throws IOException {
        int port = Integer.parseInt(proxy.address().substring(proxy.address().indexOf(':') + 1));
        return new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    private static String getRequest(String id) {
        return "GET /x HTTP/1.1\r\nX-Trace-Id: " + id + "\r\n\r\n";
    }

    @Test
    void forwardsBothDirectionsAndPausesUntilHealed() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s");
                FaultInjectingProxy proxy = new FaultInjectingProxy(server.address());
                TestConnection connection = connect(proxy)) {
            connection.write(getRequest("1"));
            assertEquals("s", connection.readMessage().bodyText());
            proxy.pause(Direction.TO_CLIENT);
            connection.write(getRequest("2"));
            while (server.executionCount("2") == 0) {
                Thread.onSpinWait();
            }
            connection.socket.setSoTimeout(50);
            long bytesBefore = proxy.bytesForwarded(Direction.TO_CLIENT);
            try {
                connection.readMessage();
                throw new AssertionError("a response was forwarded while the direction was paused");
            } catch (SocketTimeoutException e) {
                assertEquals(bytesBefore, proxy.bytesForwarded(Direction.TO_CLIENT));
            }
            proxy.heal();
            connection.socket.setSoTimeout(TestSupport.TIMEOUT_SECONDS * 1000);
            assertEquals("s", connection.readMessage().bodyText());
        }
    }

    @Test
    void resetsOpenConnectionsAndRejectsNewOnes() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s");
                FaultInjectingProxy proxy = new FaultInjectingProxy(server.address());
                TestConnection firstConnection = connect(proxy)) {
            firstConnection.write(getRequest("1"));
            firstConnection.readMessage();
            proxy.resetConnections();
            assertTrue(firstConnection.isClosedByPeer());
            proxy.rejectConnections();
            try (TestConnection secondConnection = connect(proxy)) {
                assertTrue(secondConnection.isClosedByPeer());
            }
            proxy.heal();
            try (TestConnection thirdConnection = connect(proxy)) {
                thirdConnection.write(getRequest("3"));
                assertEquals("s", thirdConnection.readMessage().bodyText());
            }
        }
    }

    @Test
    void dropsOneDirectionAndLimitsBandwidthOfTheOther() throws Exception {
        try (ScriptedHttpServer server =
                        new ScriptedHttpServer("s").byDefault(ScriptedHttpServer.respond("x".repeat(200)));
                FaultInjectingProxy proxy = new FaultInjectingProxy(server.address());
                TestConnection connection = connect(proxy)) {
            proxy.limitBandwidth(Direction.TO_CLIENT, 2000);
            long startedAt = System.nanoTime();
            connection.write(getRequest("1"));
            assertEquals(200, connection.readMessage().body().length);
            // At least 240 bytes at 2,000 bytes per second; only a lower bound of the time is certain.
            assertTrue(System.nanoTime() - startedAt > 80_000_000L, "the bandwidth was not limited");
            proxy.heal().drop(Direction.TO_SERVER);
            connection.write(getRequest("2"));
            proxy.resetConnections();
            assertTrue(connection.isClosedByPeer());
            assertEquals(0, server.executionCount("2"));
        }
    }

    @Test
    void halfClosesOneDirectionAndKeepsTheOther() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer("s");
                FaultInjectingProxy proxy = new FaultInjectingProxy(server.address());
                TestConnection connection = connect(proxy)) {
            connection.write(getRequest("1"));
            connection.readMessage();
            proxy.halfClose(Direction.TO_CLIENT);
            assertTrue(connection.isClosedByPeer());
            connection.write(getRequest("2"));
            while (server.executionCount("2") == 0) {
                Thread.onSpinWait();
            }
        }
    }
}

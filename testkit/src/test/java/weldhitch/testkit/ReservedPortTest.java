package weldhitch.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Tests of {@link ReservedPort}. */
class ReservedPortTest {
    /** Binds without SO_REUSEADDR, with the same check by which the kernel chooses ephemeral ports. */
    @Test
    void noOtherSocketCanBindAReservedPort() throws Exception {
        try (ReservedPort port = new ReservedPort();
                Socket other = new Socket()) {
            other.setReuseAddress(false);
            assertThrows(
                    BindException.class,
                    () -> other.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port.number())));
        }
    }

    @Test
    void connectionsAreRefusedWhileNoListenerIsBoundToTheReservedPort() throws Exception {
        try (ReservedPort port = new ReservedPort()) {
            for (int i = 0; i < 3; i++) {
                assertThrows(
                        ConnectException.class,
                        () -> new Socket(InetAddress.getLoopbackAddress(), port.number()).close());
                try (ServerSocket listener = new ServerSocket(port.number(), 1, InetAddress.getLoopbackAddress());
                        Socket connecting = new Socket(InetAddress.getLoopbackAddress(), port.number());
                        Socket accepted = listener.accept()) {
                    assertEquals(connecting.getLocalPort(), accepted.getPort());
                }
            }
        }
    }
}

package weldhitch.cli;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/**
 * Main class of one server process of {@code demo}, which responds with its name. It exits at the end of its standard
 * input, and so together with the process that started it.
 */
final class DemoServer {
    private DemoServer() {}

    /** Prints the server's host and port, then serves requests; {@code args[0]} is its name. */
    public static void main(String[] args) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newFixedThreadPool(8));
        server.createContext("/", exchange -> {
            try (InputStream body = exchange.getRequestBody()) {
                body.readAllBytes();
            }
            byte[] response = (args[0] + " served " + exchange.getRequestMethod() + " " + exchange.getRequestURI()
                            + "\n")
                    .getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, response.length);
            exchange.getResponseBody().write(response);
            exchange.close();
        });
        server.start();
        System.out.println("127.0.0.1:" + server.getAddress().getPort());
        System.in.transferTo(java.io.OutputStream.nullOutputStream());
        System.exit(0);
    }
}

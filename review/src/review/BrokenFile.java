package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node with two servers. Disruption: the operator's file is replaced by one with two errors, followed by SIGHUP.
 * Then, as in any new configuration, the corrected file and a new address of discovery, followed by SIGHUP; the old
 * discovery closes, and the new one lists one of the servers as draining. Checks at that server that nothing new comes
 * once the node counts as told and the grace is over.
 */
final class BrokenFile {
    private static final String GOOD =
            """
            version = 1
            [class.view-slots]
            attempts = 2
            retry-on = ["full", "reset"]
            # end
            """;
    /** Sets a key twice, and closes a list with the wrong bracket. */
    private static final String BROKEN =
            """
            version = 1
            [class.view-slots]
            attempts = 2
            attempts = 3
            retry-on = ["full", "reset"}
            # end
            """;

    /** What discovery has to tell counts as told 4 s after SIGHUP; the grace is 2 s, on sockets 50 ms longer. */
    private static final long TOLD_MILLIS = 4000;

    private static final long GRACE_MILLIS = 2050;
    /** The stand-in for the new discovery answers slowly at times; given to the node on top of the rule. */
    private static final long EXTRA_MILLIS = 450;

    private final Lab lab;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger unserved = new AtomicInteger();
    private final List<Long> receivedByDraining = new ArrayList<>();
    private volatile boolean ended;

    private BrokenFile(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, lab -> new BrokenFile(lab).run());
    }

    private int run() throws Exception {
        long drainingFrom;
        try (Platform first = new Platform();
                Platform second = new Platform();
                Server staying = new Server(request -> answer(request, false));
                Server draining = new Server(request -> answer(request, true))) {
            for (Platform platform : List.of(first, second)) {
                platform.put("s-1", staying.port(), "kacyiru", "ready");
                platform.put("s-2", draining.port(), "kacyiru", "ready");
            }
            int port = Lab.freePort();
            Path config = lab.folder.resolve("n1.json");
            Path operator = lab.folder.resolve("operator.toml");
            Files.writeString(config, first.nodeConfig("n1", port, Platform.CLASSES, "kacyiru", 0, 1));
            Files.writeString(operator, GOOD);
            Process node = lab.startNode("n1", config, operator);
            lab.require("n1 is ready", 30, () -> Lab.isReady(port));
            Thread client = new Thread(() -> send(port), "client");
            client.start();
            Thread.sleep(2000);
            if (lab.trouble) {
                replace(operator, BROKEN);
                lab.note("the operator's file is replaced by one with errors");
                lab.signal("n1", node, "HUP");
                Thread.sleep(15_000);
                lab.note(lab.logContains("n1", "route config rejected")
                        ? "the node told of the errors"
                        : "the node has not told of the errors after 15 s");
            }
            replace(operator, GOOD);
            replace(config, second.nodeConfig("n1", port, Platform.CLASSES, "kacyiru", 0, 1));
            lab.note("the operator's file is corrected, and the configuration names another discovery");
            lab.signal("n1", node, "HUP");
            long toldAt = System.nanoTime() + TOLD_MILLIS * 1_000_000;
            Thread.sleep(500);
            second.put("s-2", draining.port(), "kacyiru", "draining");
            lab.note("the new discovery lists s-2 as draining");
            Thread.sleep(1000);
            first.close();
            lab.note("the old discovery is closed");
            drainingFrom = toldAt + (GRACE_MILLIS + EXTRA_MILLIS) * 1_000_000;
            Thread.sleep(Math.max(0, (drainingFrom - System.nanoTime()) / 1_000_000));
            lab.note("from here on nothing new may come to s-2");
            Thread.sleep(10_000);
            ended = true;
            client.join(5000);
            lab.note("calls to the new discovery: " + second.calls() + "; the node is "
                    + (node.isAlive() ? "running" : "gone"));
            lab.noteLog("n1", "route config");
            lab.noteLog("n1", "discovery");
            lab.noteLog("n1", "Exception");
            lab.noteLog("n1", "TomlLineIndex");
        }
        long late;
        synchronized (receivedByDraining) {
            late = receivedByDraining.stream().filter(at -> at > drainingFrom).count();
        }
        lab.note("look-ups served " + served + ", not served " + unserved + "; received by s-2 in all "
                + receivedByDraining.size() + ", after the grace " + late);
        if (receivedByDraining.isEmpty() || served.get() < 50) {
            return Lab.COULD_NOT_RUN;
        }
        return late == 0 ? Lab.HELD : Lab.BROKEN;
    }

    private static void replace(Path file, String text) throws IOException {
        Path draft = file.resolveSibling(file.getFileName() + ".draft");
        Files.writeString(draft, text);
        Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private byte[] answer(Server.Received request, boolean draining) throws InterruptedException {
        lab.record((draining ? "s-2" : "s-1") + " received look-up " + request.id());
        if (draining) {
            synchronized (receivedByDraining) {
                receivedByDraining.add(System.nanoTime());
            }
        }
        Thread.sleep(20);
        return Server.ok("ran " + request.id());
    }

    /** Sends ten look-ups a second, each on a connection of its own. */
    private void send(int port) {
        for (int number = 1; !ended; number++) {
            String id = String.format("%016x", 0x9b1f03aa00000000L + number);
            String answer;
            try (Socket socket = new Socket()) {
                socket.connect(Lab.loopback(port), 1000);
                socket.setSoTimeout(2500);
                socket.getOutputStream()
                        .write(("GET /view-slots/" + number + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id
                                        + "\r\nX-Qos: view-slots\r\nX-Expires-In: 1.500\r\nConnection: close\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                InputStream in = socket.getInputStream();
                answer = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            } catch (IOException e) {
                answer = e.toString();
            }
            if (answer.startsWith("HTTP/1.1 200") && answer.endsWith("ran " + id)) {
                served.incrementAndGet();
                lab.record("client: look-up " + id + " served");
            } else {
                unserved.incrementAndGet();
                lab.note("look-up " + id + ": " + answer.lines().findFirst().orElse("nothing"));
            }
            try {
                Thread.sleep(80);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}

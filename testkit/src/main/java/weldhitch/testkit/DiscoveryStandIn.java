package weldhitch.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in for discovery: a list that a test changes, told to nodes that watch it or ask for it. */
public final class DiscoveryStandIn implements Closeable {
    private static final Pattern WATCH = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");

    private record Host(String dial, String health, int since) {
    }

    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Peer peer;
    private int version = 1;
    private boolean silent;
    private long toldAt;
    private int toldVersion;
    /** The version that the last answer brought. */
    private int answered;

    public DiscoveryStandIn() throws IOException {
        peer = new Peer(wire -> {
            for (Message m = wire.message(); m != null; m = wire.message()) {
                wire.write(answer(m.firstLine()));
                told();
            }
        });
    }

    /** Host and port. */
    public String address() {
        return peer.address();
    }

    /** A server that is ready from now on. */
    public DiscoveryStandIn push(String name, String dial) {
        return change(name, dial, "ready");
    }

    /** The server drains from now on. */
    public DiscoveryStandIn drain(String name) {
        return change(name, hosts.get(name).dial, "draining");
    }

    /** The server is gone from now on. */
    public DiscoveryStandIn gone(String name) {
        return change(name, hosts.get(name).dial, "gone");
    }

    private synchronized DiscoveryStandIn change(String name, String dial, String health) {
        hosts.put(name, new Host(dial, health, ++version));
        notifyAll();
        return this;
    }

    /** Answers nothing until {@link #speak}; calls wait. */
    public synchronized DiscoveryStandIn silence() {
        silent = true;
        return this;
    }

    /** Answers again. */
    public synchronized DiscoveryStandIn speak() {
        silent = false;
        notifyAll();
        return this;
    }

    /** Waits until a node has been told of the newest change and says when that was, by {@link System#nanoTime}. */
    public synchronized long awaitTold() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Tests.WAIT_S);
        while (toldVersion < version) {
            long left = end - System.nanoTime();
            if (left <= 0) {
                throw new AssertionError("no node asked for version " + version);
            }
            TimeUnit.NANOSECONDS.timedWait(this, left);
        }
        return toldAt;
    }

    private synchronized void told() {
        if (answered > toldVersion) {
            toldVersion = answered;
            toldAt = System.nanoTime();
            notifyAll();
        }
    }

    private synchronized String answer(String call) throws InterruptedException {
        Matcher watch = WATCH.matcher(call);
        boolean watching = watch.find();
        int known = watching ? Integer.parseInt(watch.group(1)) : 0;
        long end = System.nanoTime()
            + (watching ? TimeUnit.MILLISECONDS.toNanos(Long.parseLong(watch.group(2))) : 0);
        while (silent || watching && version == known && System.nanoTime() < end) {
            long left = silent ? TimeUnit.SECONDS.toNanos(1) : end - System.nanoTime();
            if (left > 0) {
                TimeUnit.NANOSECONDS.timedWait(this, left);
            }
        }
        answered = version;
        boolean whole = !watching || known == 0;
        StringBuilder list = new StringBuilder();
        hosts.forEach((name, host) -> {
            if (whole ? !host.health.equals("gone") : host.since > known) {
                list.append(list.length() == 0 ? "" : ",").append("{\"host\":\"").append(name).append("\",\"dial\":\"")
                    .append(host.dial).append("\",\"site\":\"a\",\"class\":\"k\",\"block\":1,\"health\":\"")
                    .append(host.health).append("\",\"share\":1.0,\"born_ms\":0}");
            }
        });
        String body = "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + list + "]}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        peer.close();
    }
}

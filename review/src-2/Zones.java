import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import weldhitch.client.CallException;
import weldhitch.client.Request;
import weldhitch.client.WeldhitchClient;
import weldhitch.client.policy.ClientPolicy;

/**
 * An app books visits through the client library, with an idempotency key each, of a class whose repeats only the
 * servers of one zone drop. One of two nodes is killed. Checks that no booking is executed twice.
 */
final class Zones {
    private static final int CALLS = 600;
    private static final long CALL_MILLIS = 12;
    private static final long WINDOW_MILLIS = 5000;

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, Zones::run);
    }

    private static int run(Lab lab) throws Exception {
        // The servers of a zone share what they remember, for longer than the window; no call is longer than it.
        Map<String, List<String>> executions = new ConcurrentHashMap<>();
        Lab.Discovery discovery = lab.new Discovery();
        for (int i = 0; i < 6; i++) {
            String zone = String.valueOf((char) ('a' + i / 2));
            String name = "server-" + (i + 1);
            int port = lab.serve((request, out) -> {
                List<String> runs =
                        executions.computeIfAbsent(request.headers.get("idempotency-key"), key -> new ArrayList<>());
                synchronized (runs) {
                    if (runs.stream().noneMatch(run -> run.startsWith(zone + " "))) {
                        runs.add(String.format(
                                "%s %s at %.3f s, for %s", zone, name, lab.seconds(), request.headers.get("x-trace-id")));
                    }
                }
                Lab.pause(300);
                Lab.write(out, 200, "", zone + " booked " + request.body);
            });
            discovery.put(name, "127.0.0.1:" + port, zone, "ready");
        }
        String settings = Lab.settings()
                .replace("\"areas\":[\"a\"]", "\"areas\":[\"a\",\"b\",\"c\"]")
                .replace(
                        "\"name\":\"book-visit\",\"effect\":\"non_idempotent\",\"group\":\"all\"",
                        "\"name\":\"book-visit\",\"effect\":\"idempotency_key\",\"group\":\"zone\"");
        Lab.Node first = lab.new Node("n1", 0, 2, discovery, null, settings);
        Lab.Node second = lab.new Node("n2", 1, 2, discovery, null, settings);
        first.program.start();
        second.program.start();
        lab.require("both nodes are ready", 25, () -> first.ready() && second.ready());

        ClientPolicy defaults = ClientPolicy.DEFAULTS;
        ClientPolicy policy = new ClientPolicy(
                defaults.maxAttempts(),
                defaults.initialBackoff(),
                defaults.maxBackoff(),
                defaults.retryRatio(),
                defaults.minRetriesPerSecond(),
                defaults.throttleMultiplier(),
                defaults.ejectionThreshold(),
                defaults.minReconnectWindow(),
                defaults.maxReconnectWindow(),
                defaults.subsetSize(),
                TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS));
        Map<String, Integer> ends = new ConcurrentHashMap<>();
        ExecutorService callers = Executors.newCachedThreadPool();
        try (WeldhitchClient client = WeldhitchClient.builder()
                .nodes("127.0.0.1:" + first.port, "127.0.0.1:" + second.port)
                .policy(policy)
                .build()) {
            for (int i = 0; i < CALLS; i++) {
                if (lab.trouble && i == CALLS / 2) {
                    first.program.kill();
                }
                String key = "visit-" + i;
                callers.execute(() -> {
                    String end = "served";
                    try {
                        client.send(Request.withIdempotencyKey("book-visit", key, key.getBytes())
                                .withTimeout(Duration.ofMillis(1500)));
                    } catch (CallException e) {
                        end = e.getClass().getSimpleName();
                    }
                    ends.merge(end, 1, Integer::sum);
                });
                Lab.pause(CALL_MILLIS);
            }
            callers.shutdown();
            callers.awaitTermination(10, TimeUnit.SECONDS);
        }
        Lab.pause(500);
        long twice = executions.values().stream().filter(runs -> runs.size() > 1).count();
        executions.forEach((key, runs) -> {
            if (runs.size() > 1) {
                lab.log(key + " was executed " + runs.size() + " times: zone " + String.join("; zone ", runs));
            }
        });
        lab.log("ends of the calls: " + ends);
        lab.log("bookings executed: " + executions.size() + ", twice or more: " + twice);
        if (ends.getOrDefault("served", 0) < CALLS / 4) {
            return Lab.NOT_RUN;
        }
        return twice == 0 ? Lab.HELD : Lab.BROKEN;
    }
}

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import weldhitch.client.CallException;
import weldhitch.client.Request;
import weldhitch.client.WeldhitchClient;

/**
 * An app books visits through the client library, with an idempotency key each. For six seconds a third of the answers
 * are lost and their connections reset, after the servers have executed the requests. Checks that no booking of which
 * the library says that it was not executed has been executed.
 */
final class Refused {
    private static final double TROUBLE_SECONDS = 6;
    private static final int CALLS = 300;
    private static final long CALL_MILLIS = 33;

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, Refused::run);
    }

    private static int run(Lab lab) throws Exception {
        Map<String, AtomicInteger> executed = new ConcurrentHashMap<>();
        Map<String, String> results = new ConcurrentHashMap<>();
        boolean[] losesAnswers = {false};
        Random random = new Random(7);
        Lab.Discovery discovery = lab.new Discovery();
        for (int i = 1; i <= 4; i++) {
            String name = "server-" + i;
            int port = lab.serve((request, out) -> {
                String key = request.headers.get("idempotency-key");
                Lab.pause(5);
                // The group is all servers: a repeat within the window (the run is shorter) is not executed again.
                String result = results.computeIfAbsent(key, k -> {
                    executed.computeIfAbsent(k, x -> new AtomicInteger()).incrementAndGet();
                    return name + " booked " + request.body;
                });
                boolean lost;
                synchronized (random) {
                    lost = losesAnswers[0] && random.nextInt(3) == 0;
                }
                if (lost) {
                    lab.log(name + " executed " + key + ", and its connection is reset");
                    throw new Lab.Reset();
                }
                Lab.write(out, 200, "", result);
            });
            discovery.put(name, "127.0.0.1:" + port, "a", "ready");
        }
        // A class may have another effect than the site's file gives it; its servers remember keys for five seconds.
        String settings = Lab.settings().replace(
                "\"name\":\"book-visit\",\"effect\":\"non_idempotent\"",
                "\"name\":\"book-visit\",\"effect\":\"idempotency_key\"");
        Lab.Node node = lab.new Node("n1", 0, 1, discovery, null, settings);
        node.program.start();
        lab.require("the node is ready", 25, node::ready);

        List<String> wrong = new ArrayList<>();
        Map<String, Integer> ends = new ConcurrentHashMap<>();
        List<Thread> calls = new ArrayList<>();
        try (WeldhitchClient client = WeldhitchClient.builder().nodes("127.0.0.1:" + node.port).build()) {
            double from = lab.seconds();
            for (int i = 0; i < CALLS; i++) {
                double now = lab.seconds() - from;
                losesAnswers[0] = lab.trouble && now > 2 && now < 2 + TROUBLE_SECONDS;
                String visit = "visit-" + i;
                String key = "key-" + lab.newId();
                Thread call = new Thread(() -> {
                    Request request = Request.withIdempotencyKey("book-visit", key, visit.getBytes())
                            .withTimeout(Duration.ofMillis(1500));
                    String end;
                    try {
                        end = "served";
                        client.send(request);
                    } catch (CallException e) {
                        end = e.getClass().getSimpleName();
                        if (e instanceof CallException.NotExecuted refused) {
                            end += " " + refused.reason();
                            Lab.pause(1000);
                            int times = executed.getOrDefault(key, new AtomicInteger()).get();
                            if (times > 0) {
                                lab.log("the library says of " + visit + ", " + key + ": \"" + e.getMessage()
                                        + "\"; servers executed it " + times + " time(s)");
                                synchronized (wrong) {
                                    wrong.add(visit);
                                }
                            }
                        }
                    } catch (CompletionException e) {
                        end = e.toString();
                    }
                    ends.merge(end, 1, Integer::sum);
                });
                call.start();
                calls.add(call);
                Lab.pause(CALL_MILLIS);
            }
            for (Thread call : calls) {
                call.join();
            }
        }
        lab.log("ends of the calls: " + ends);
        lab.log("bookings executed: " + executed.size() + "; called not executed, and executed: " + wrong.size());
        node.program.recordLog("rejected", "retry", "failed");
        if (ends.getOrDefault("served", 0) < CALLS / 4) {
            return Lab.NOT_RUN;
        }
        return wrong.isEmpty() ? Lab.HELD : Lab.BROKEN;
    }
}

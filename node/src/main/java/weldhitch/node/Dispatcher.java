package weldhitch.node;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import weldhitch.decision.Balancing.*;
import weldhitch.decision.RatioBalancer;

final class Dispatcher {
    private static final long GUARD = 8_000_000L;

    private final Clock clock;
    private final EventLoop loop;
    private final RatioBalancer module;
    private final Limits limits;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private ServerConnections servers;
    private Runnable onSubscribe = () -> { };
    private boolean delivering;
    private int unanswered;

    Dispatcher(Clock clock, EventLoop loop, RatioBalancer module, Limits limits) {
        this.clock = clock;
        this.loop = loop;
        this.module = module;
        this.limits = limits;
    }

    void connect(ServerConnections serverConnections, Runnable subscribe) {
        servers = serverConnections;
        onSubscribe = subscribe;
    }

    /** Requests that still wait for their final answer. */
    int unanswered() {
        return unanswered;
    }

    boolean holds(String id) {
        return exchanges.containsKey(id);
    }

    // ---- what happens ----

    /** A request's last byte has come: it is taken, and its time counts from here. */
    void arrived(Exchange x) {
        long now = clock.now();
        x.deadline = now + x.patience;
        exchanges.put(x.id, x);
        unanswered++;
        // Guards against a request that the module forgot, or lost to a fault of its own.
        x.guard = loop.schedule(() -> overdue(x), x.patience + GUARD, TimeUnit.NANOSECONDS);
        tell(new Arrival(x.id, x.requestClass.name(), x.deadline, x.headers.get("X-Customer"), hintedCost(x),
            "1".equals(x.headers.get("X-Second-Try"))));
    }

    /** The caller's guess at the work, given in microseconds, as seconds; 0 where it gives none that makes sense. */
    private static double hintedCost(Exchange x) {
        String hint = x.headers.get("X-Size-Hint");
        try {
            double cost = hint == null ? 0 : Double.parseDouble(hint) / 1e6;
            return cost > 0 && cost < 1e6 ? cost : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    void clientGone(Exchange x) {
        if (finish(x)) {
            tell(new ClientGone(x.id));
            forget(x);
        }
    }

    /**
     * A server's answer that is passed on as it comes has begun; from here on the client has its final answer.
     * False where it has one already.
     */
    boolean streamBegins(Attempt attempt) {
        if (!finish(attempt.exchange)) {
            return false;
        }
        attempt.streaming = true;
        stopTimer(attempt);
        tell(new FirstByte(attempt.exchange.id, attempt.number, attempt.server, clock.now() - attempt.sentAt));
        return true;
    }

    /** The end of an attempt; {@code answer} is the whole body of an OK that was held back until now. */
    void ended(Attempt attempt, Outcome outcome, ServerAnswer answer) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.connection = null;
        attempt.dial = null;
        stopTimer(attempt);
        Exchange x = attempt.exchange;
        x.out--;
        if (outcome == Outcome.OK && answer != null && finish(x)) {
            x.client.served(answer);
        }
        // Load reports are not passed on: the module takes no account of them.
        tell(new AttemptEnded(x.id, attempt.number, attempt.server, outcome, clock.now() - attempt.sentAt, x.over,
            null));
        forget(x);
    }

    void membership(ListKind kind, List<ServerEntry> entries) {
        tell(new Membership(kind, entries));
    }

    private void overdue(Exchange x) {
        if (!x.over) {
            Log.line("request " + x.id + " was left unanswered until its deadline");
            finish(x);
            x.client.failed(true);
            tell(new ClientGone(x.id));
            forget(x);
        }
    }

    private void expire(Attempt attempt) {
        if (!attempt.ended) {
            // What has its last byte still here has not begun anywhere, and may be refused instead of failed.
            boolean written = attempt.written;
            servers.giveUp(attempt);
            ended(attempt, written ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED, null);
        }
    }

    // ---- the module ----

    private void tell(Event event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                deliver(next);
            }
        } finally {
            delivering = false;
        }
    }

    private void deliver(Event event) {
        try {
            for (Action action : module.handle(clock.now(), event)) {
                carryOut(action);
            }
        } catch (RuntimeException e) {
            // A fault in the module costs the request at hand, which its guard ends, and never the process.
            Log.failure("the module failed on " + event.getClass().getSimpleName(), e);
        }
    }

    private void carryOut(Action action) {
        if (action instanceof Send send) {
            send(send);
        } else if (action instanceof SetTimer timer) {
            loop.schedule(() -> tell(new Timer(timer.token())), timer.after(), TimeUnit.NANOSECONDS);
        } else if (action instanceof Cancel cancel) {
            cancel(cancel);
        } else if (action instanceof Refuse refuse) {
            Exchange x = exchanges.get(refuse.request());
            if (x != null && finish(x)) {
                x.client.refused(refuse.retryAfter());
                forget(x);
            }
        } else if (action instanceof Fail fail) {
            Exchange x = exchanges.get(fail.request());
            if (x != null && finish(x)) {
                x.client.failed(clock.now() >= x.deadline);
                forget(x);
            }
        } else if (action instanceof Subscribe) {
            onSubscribe.run();
        } else if (action instanceof Report report) {
            Log.line(report.text());
        }
    }

    private void send(Send send) {
        Exchange x = exchanges.get(send.request());
        if (x == null) {
            return;
        }
        long now = clock.now();
        long until = send.timeout() > 0 ? Math.min(x.deadline, now + send.timeout()) : x.deadline;
        Attempt attempt = new Attempt(x, x.attempts.size(), send.server(), now, until);
        x.attempts.add(attempt);
        x.out++;
        if (x.over || now >= until || attempt.number >= limits.maxAttempts()) {
            ended(attempt, Outcome.NOT_SENT, null);
            return;
        }
        attempt.timer = loop.schedule(() -> expire(attempt), until - now, TimeUnit.NANOSECONDS);
        servers.send(attempt);
    }

    private void cancel(Cancel cancel) {
        Exchange x = exchanges.get(cancel.request());
        if (x == null || cancel.attempt() < 0 || cancel.attempt() >= x.attempts.size()) {
            return;
        }
        Attempt attempt = x.attempts.get(cancel.attempt());
        if (!attempt.ended && !attempt.streaming) {
            servers.giveUp(attempt);
            ended(attempt, Outcome.CANCELLED, null);
        }
    }

    // ---- ends ----

    /** Marks the request as answered; false if it was before. */
    private boolean finish(Exchange x) {
        if (x.over) {
            return false;
        }
        x.over = true;
        x.guard.cancel(false);
        unanswered--;
        return true;
    }

    private void forget(Exchange x) {
        if (x.over && x.out == 0 && exchanges.remove(x.id, x)) {
            x.body.release();
        }
    }

    private static void stopTimer(Attempt attempt) {
        if (attempt.timer != null) {
            attempt.timer.cancel(false);
            attempt.timer = null;
        }
    }
}

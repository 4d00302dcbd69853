package weldhitch.decision.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldhitch.decision.Balancing.*;
import weldhitch.decision.RatioBalancer;

/** The module with the sockets left out: what {@code node.Dispatcher} does, in simulated time. */
final class SimulatedNode {
    private static final long WAY = 500_000L;

    /** Of all that the module has decided. */
    long digest;
    private final Clockwork clock;
    private final Map<String, SimulatedServer> servers;
    private final Settings settings;
    private final Map<String, Held> requests = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private RatioBalancer module;
    private int life;
    private boolean delivering;
    /** Whether the front deals new requests to it. */
    boolean open;

    /** A request at this node, until its final answer is given and no attempt is out. */
    private static final class Held {
        final String id;
        final double work;
        final long elsewhere;
        final long deadline;
        final Answer answer;
        final List<Boolean> ended = new ArrayList<>();
        /** Attempts that ran or may have. */
        int mayHaveRun;
        boolean over;
        final boolean unsafe;

        Held(String id, double work, long elsewhere, long deadline, boolean unsafe, Answer answer) {
            this.id = id;
            this.work = work;
            this.elsewhere = elsewhere;
            this.deadline = deadline;
            this.unsafe = unsafe;
            this.answer = answer;
        }
    }

    enum Answered { SERVED, REFUSED, FAILED }

    interface Answer {
        void given(Answered how, long retryAfter);
    }

    SimulatedNode(Clockwork clock, Map<String, SimulatedServer> servers, Settings settings) {
        this.clock = clock;
        this.servers = servers;
        this.settings = settings;
    }

    /** A fresh start: nothing of what the one before had learned is left. */
    void start(long seed, List<ServerEntry> known) {
        life++;
        module = new RatioBalancer(settings, seed);
        open = true;
        tell(new Membership(ListKind.REMEMBERED, known));
    }

    /** Ends; what it still held has gone with it. */
    void stop() {
        life++;
        module = null;
        open = false;
        requests.clear();
    }

    void told(List<ServerEntry> changes) {
        if (module != null) {
            tell(new Membership(ListKind.CHANGES, changes));
        }
    }

    void ask(String id, RequestClass about, double work, long elsewhere, long deadline, boolean again, Answer answer) {
        Held held = new Held(id, work, elsewhere, deadline, about.effect() == Effect.UNSAFE, answer);
        requests.put(id, held);
        int born = life;
        clock.after(deadline - clock.now() + settings.rules().answerSlack(), () -> {
            if (born == life && !held.over) {
                throw new AssertionError("no final answer for " + id + " of " + about.name());
            }
        });
        tell(new Arrival(id, about.name(), deadline, null, 0, again));
    }

    /** The caller has given up. */
    void left(String id) {
        Held held = requests.get(id);
        if (held != null && !held.over) {
            held.over = true;
            tell(new ClientGone(id));
        }
    }

    private void tell(Event event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        for (Event next = events.poll(); next != null; next = events.poll()) {
            List<Action> actions = module.handle(clock.now(), next);
            digest = Digest.of(digest, clock.now(), actions);
            actions.forEach(this::carryOut);
        }
        delivering = false;
    }

    private void carryOut(Action action) {
        if (action instanceof Send send) {
            send(send);
        } else if (action instanceof SetTimer timer) {
            later(timer.after(), () -> tell(new Timer(timer.token())));
        } else if (action instanceof Cancel cancel) {
            end(requests.get(cancel.request()), cancel.attempt(), null, Outcome.CANCELLED, 0);
        } else if (action instanceof Refuse refuse) {
            Held held = requests.get(refuse.request());
            if (held.unsafe && held.mayHaveRun > 0) {
                throw new AssertionError("refused after it may have run: " + held.id);
            }
            answer(held, Answered.REFUSED, refuse.retryAfter());
        } else if (action instanceof Fail fail) {
            answer(requests.get(fail.request()), Answered.FAILED, 0);
        }
    }

    private void later(long nanos, Runnable work) {
        int born = life;
        clock.after(nanos, () -> {
            if (born == life) {
                work.run();
            }
        });
    }

    private void answer(Held held, Answered how, long retryAfter) {
        if (!held.over) {
            held.over = true;
            held.answer.given(how, retryAfter);
        }
    }

    private void send(Send send) {
        Held held = requests.get(send.request());
        int number = held.ended.size();
        held.ended.add(false);
        if (held.unsafe && held.mayHaveRun > 0) {
            throw new AssertionError("sent again after it may have run: " + held.id);
        }
        held.mayHaveRun++;
        long sentAt = clock.now();
        long until = send.timeout() > 0 ? Math.min(held.deadline, sentAt + send.timeout()) : held.deadline;
        later(until - sentAt, () -> end(held, number, send.server(), Outcome.TIMED_OUT, sentAt));
        SimulatedServer server = servers.get(send.server());
        int born = life;
        clock.after(WAY, () -> server.take(held.work, held.elsewhere, outcome -> clock.after(WAY, () -> {
            if (born == life) {
                end(held, number, send.server(), outcome, sentAt);
            }
        })));
    }

    private void end(Held held, int number, String server, Outcome outcome, long sentAt) {
        if (held == null || held.ended.get(number)) {
            return;
        }
        held.ended.set(number, true);
        if (outcome.neverRan) {
            held.mayHaveRun--;
        }
        if (outcome == Outcome.OK) {
            answer(held, Answered.SERVED, 0);
        }
        tell(new AttemptEnded(held.id, number, server, outcome, clock.now() - sentAt, held.over, null));
        if (held.over && !held.ended.contains(false)) {
            requests.remove(held.id);
        }
    }
}

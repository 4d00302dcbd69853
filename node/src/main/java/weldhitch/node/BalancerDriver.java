package weldhitch.node;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import weldhitch.capture.live.CaptureRecorder;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.balancing.IncrementalSnapshot;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.balancing.RouteStates;
import weldhitch.decision.event.BalancerEvent;

/**
 * Delivers events to the balancer one at a time, passes the resulting actions to an executor, and records both if
 * the node is being captured. Events that are submitted while actions are being executed are queued. Owned by
 * {@link Dispatcher}; not thread-safe, confined to the event loop.
 */
final class BalancerDriver {
    private final Clock clock;
    private final RatioBalancer balancer;
    private final Consumer<BalancerAction> executor;
    private final ArrayDeque<BalancerEvent> eventQueue = new ArrayDeque<>();
    private boolean delivering;
    /** Records all events that the balancer handles; null if no capture is active. */
    private CaptureRecorder capture;

    BalancerDriver(Clock clock, RatioBalancer balancer, Consumer<BalancerAction> executor) {
        this.clock = clock;
        this.balancer = balancer;
        this.executor = executor;
    }

    /** Records every event from the next one on; null stops the recording. */
    void capture(CaptureRecorder next) {
        if (capture != null) {
            capture.completeSnapshot();
        }
        capture = next;
    }

    IncrementalSnapshot snapshot() {
        return balancer.beginSnapshot();
    }

    /** Returns the active routes, from which the next version's routes are built. */
    RouteStates activeRoutes() {
        return balancer.routes();
    }

    /** Delivers the event, or queues it if another event is being delivered. */
    void submit(BalancerEvent event) {
        eventQueue.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (BalancerEvent next = eventQueue.poll(); next != null; next = eventQueue.poll()) {
                deliver(next);
            }
        } finally {
            delivering = false;
        }
    }

    private void deliver(BalancerEvent event) {
        try {
            long now = clock.now();
            List<BalancerAction> actions = capture == null ? balancer.handle(now, event) : handleCaptured(now, event);
            for (BalancerAction action : actions) {
                execute(action);
            }
        } catch (RuntimeException | StackOverflowError e) {
            // A fault in the balancer must not end the process. It affects only the current request, which its
            // watchdog ends.
            Log.failure("balancer failed event=" + event.getClass().getSimpleName(), e);
        }
    }

    /** Executes one action; if it fails, those after it are executed all the same, as the last one may be a timer. */
    private void execute(BalancerAction action) {
        try {
            executor.accept(action);
        } catch (RuntimeException | StackOverflowError e) {
            Log.failure("balancer action failed action=" + action.getClass().getSimpleName(), e);
        }
    }

    private List<BalancerAction> handleCaptured(long now, BalancerEvent event) {
        capture.beforeEvent(now);
        List<BalancerAction> actions = null;
        try {
            actions = balancer.handle(now, event);
            capture.afterEvent(now, event, actions);
            return actions;
        } finally {
            if (actions == null) {
                capture.onEventFailed(now);
            }
        }
    }
}

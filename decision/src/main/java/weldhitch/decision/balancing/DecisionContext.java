package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.List;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.balancing.DecisionListener.DecisionReason;
import weldhitch.decision.settings.BalancerSettings;

/**
 * The data that {@link RatioBalancer} and its collaborators share while they handle one event: the state, the time of
 * the event and the actions decided so far. One instance per balancer is reused for all events. Times are
 * nanoseconds. Not thread-safe; owned by the balancer's thread.
 */
final class DecisionContext {
    /** Initial capacity of the list of actions; most events result in no more than this. */
    private static final int EXPECTED_ACTIONS = 4;

    final BalancerSettings settings;
    final BalancerState state;
    /** Receives the reasons of decisions; null except in a replay. */
    final DecisionListener listener;

    private long now;
    private List<BalancerAction> actions = List.of();

    DecisionContext(BalancerState state, DecisionListener listener) {
        this.settings = state.settings;
        this.state = state;
        this.listener = listener;
    }

    /** Starts the handling of an event at this time, with an empty list of actions. */
    void beginEvent(long eventTime) {
        now = eventTime;
        actions = new ArrayList<>(EXPECTED_ACTIONS);
    }

    /** Returns the time of the event. */
    long now() {
        return now;
    }

    /** Returns the actions decided for the event, in order. */
    List<BalancerAction> actions() {
        return actions;
    }

    /** Adds an action. */
    void emit(BalancerAction action) {
        actions.add(action);
    }

    /** Passes the reason of a decision to the listener, if there is one. */
    void notifyListener(RequestState request, DecisionReason reason) {
        if (listener != null) {
            listener.onDecision(now, request.id, reason);
        }
    }

    /** Returns the latest time for the final response: one clock resolution step before the deadline. */
    long latestAnswerTime(RequestState request) {
        return request.deadline - settings.clockResolution();
    }

    /** Returns whether the latest time for the final response has been reached. */
    boolean deadlineReached(RequestState request) {
        return now >= latestAnswerTime(request);
    }

    /** Schedules the next wake-up of the request, which replaces an earlier one. */
    void scheduleWakeUp(RequestState request, long time) {
        request.wakeUpAt = time;
        state.timers.schedule(time, request);
    }
}

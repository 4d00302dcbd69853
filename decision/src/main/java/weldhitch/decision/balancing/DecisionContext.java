package weldhitch.decision.balancing;

import java.util.ArrayList;
import java.util.List;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.balancing.DecisionListener.DecisionReason;
import weldhitch.decision.settings.BalancerSettings;

/**
 * What {@link RatioBalancer} and its collaborators share while one event is handled: the state, the time and the
 * actions decided so far. Created once per balancer and reused for each event. Times are nanoseconds. Not
 * thread-safe; owned by the balancer's thread.
 */
final class DecisionContext {
    /** Most events are answered with no more actions than this. */
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

    /** Begins an event at this time: no actions are decided yet. */
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

    /** Tells the listener, if there is one, the reason of a decision. */
    void notifyListener(RequestState request, DecisionReason reason) {
        if (listener != null) {
            listener.onDecision(now, request.id, reason);
        }
    }

    /** Returns the latest time of an answer: one clock step before the deadline. */
    long latestAnswerTime(RequestState request) {
        return request.deadline - settings.clockResolution();
    }

    /** Whether the latest time of an answer has come. */
    boolean deadlineReached(RequestState request) {
        return now >= latestAnswerTime(request);
    }

    /** Schedules the time at which the request is looked at again; it replaces an earlier one. */
    void scheduleWakeUp(RequestState request, long time) {
        request.wakeUpAt = time;
        state.timers.schedule(time, request);
    }
}

package weldhitch.decision.balancing;

import java.util.List;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.LogMessage;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.RequestZones;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.action.SubscribeToEndpoints;

/**
 * Computes a running digest of decisions, which is the same for every build that makes the same decisions. Stateless.
 *
 * <p>The hashed text is data, like a file format: each action is encoded as a tag and its fields in a fixed order, all
 * defined here. It does not depend on the names of the action types, so renaming them does not change recorded digests.
 */
public final class DecisionDigest {
    private DecisionDigest() {}

    /** Returns the digest of the decisions so far and of these actions; {@code previous} is 0 at the start. */
    public static long of(long previous, long now, List<BalancerAction> actions) {
        long digest = previous * 0x9E3779B97F4A7C15L + now;
        for (BalancerAction action : actions) {
            digest = (digest ^ digest >>> 29) * 0xBF58476D1CE4E5B9L
                    + encode(action).hashCode();
        }
        return digest;
    }

    /** Returns the encoding of an action. Recorded digests depend on every character of it. */
    static String encode(BalancerAction action) {
        if (action instanceof SendAttempt send) {
            return "Send[request=" + send.requestId() + ", server=" + send.endpointId() + ", timeout=" + send.timeout()
                    + "]";
        }
        if (action instanceof CancelAttempt cancel) {
            return "Cancel[request=" + cancel.requestId() + ", attempt=" + cancel.attempt() + "]";
        }
        if (action instanceof RejectRequest reject) {
            return "Refuse[request=" + reject.requestId() + ", retryAfter=" + reject.retryAfter() + "]";
        }
        if (action instanceof FailRequest fail) {
            return "Fail[request=" + fail.requestId() + ", late=" + fail.routeDeadlineExceeded() + "]";
        }
        if (action instanceof ScheduleTimer timer) {
            return "SetTimer[after=" + timer.delay() + ", token=" + timer.token() + "]";
        }
        if (action instanceof RequestZones zoneRequest) {
            return "AskZones[request=" + zoneRequest.requestId() + "]";
        }
        if (action instanceof LogMessage report) {
            return "Report[text=" + report.text() + "]";
        }
        if (action instanceof SubscribeToEndpoints) {
            return "Subscribe[]";
        }
        throw new IllegalArgumentException(
                "no recorded encoding for action type " + action.getClass().getName());
    }
}

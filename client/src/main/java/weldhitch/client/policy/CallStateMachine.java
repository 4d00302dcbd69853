package weldhitch.client.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import weldhitch.client.policy.ClientAction.CancelAttempt;
import weldhitch.client.policy.ClientAction.CompleteCall;
import weldhitch.client.policy.ClientAction.QueryScope;
import weldhitch.client.policy.ClientAction.ScheduleTimer;
import weldhitch.client.policy.ClientAction.SendAttempt;
import weldhitch.client.policy.ClientEvent.AttemptEnded;
import weldhitch.client.policy.ClientEvent.CallCancelled;
import weldhitch.client.policy.ClientEvent.CallStarted;
import weldhitch.client.policy.ClientEvent.ConnectionLost;
import weldhitch.client.policy.ClientEvent.DeduplicationScopeStated;
import weldhitch.client.policy.ClientEvent.NodesChanged;
import weldhitch.client.policy.ClientEvent.ScopeQueryEnded;

/**
 * Makes all decisions of a client: which node an attempt goes to and when, whether a call is retried, and how the
 * call ends. Driven by {@code WeldhitchClient}, which executes the returned actions.
 *
 * <p>Invariants: A non-idempotent call is retried only if all its earlier attempts are known not to have been
 * executed. A call with an idempotency key that may have been executed is retried only if all servers are known to
 * discard repeats of its class, and only within the deduplication window. No attempt starts that cannot end before the
 * deadline. A call that can no longer succeed ends at once. A node that sent Retry-After gets no attempt of any call
 * until that time has passed. Each client spreads its reconnects to lost nodes differently.
 *
 * <p>Single-threaded. The caller passes the time in nanoseconds from any origin, and all randomness comes from the
 * seed.
 */
public final class CallStateMachine {
    /**
     * Time in nanoseconds after which an unanswered probe counts as a failure, while no latency of its class is known,
     * and after which a query for a deduplication scope does.
     */
    private static final long DEFAULT_RESPONSE_TIMEOUT = ClientPolicy.SECOND;

    private final ClientPolicy policy;
    private final UniformRandomProvider random;
    private final RetryBudget retryBudget;
    private final DeduplicationScopes deduplicationScopes;
    private final RetryRules retryRules;
    private final NodePool nodes;
    private final Map<Long, OutgoingCall> calls = new LinkedHashMap<>();
    private final Map<String, LatencyEstimate> latencyByClass = new LinkedHashMap<>();
    /** The node that is being asked for the deduplication scope of a request class. */
    private final Map<String, NodeState> queriedNodeByClass = new LinkedHashMap<>();

    private long timerAt = Long.MAX_VALUE;
    private long now;
    private List<ClientAction> actions;

    /**
     * Creates a state machine without calls.
     *
     * @param seed unique to this client, because two clients with the same seed would reconnect at the same times
     */
    public CallStateMachine(ClientPolicy policy, List<String> addresses, long seed) {
        this.policy = policy;
        random = new SplitMix64(seed);
        nodes = new NodePool(policy, seed, random);
        retryBudget = new RetryBudget(policy.retryRatio(), policy.minRetriesPerSecond());
        deduplicationScopes = new DeduplicationScopes(policy.globallyDeduplicatedClasses());
        retryRules = new RetryRules(policy, deduplicationScopes, random);
        updateNodes(addresses);
    }

    /**
     * Handles one event and returns the actions, in order.
     *
     * @param eventTime the time of the event in nanoseconds; a time before the last event counts as that event's time
     */
    public List<ClientAction> handle(long eventTime, ClientEvent event) {
        now = Math.max(now == 0 ? eventTime : now, eventTime);
        actions = new ArrayList<>(2);
        if (event instanceof CallStarted e) {
            startCall(e);
        } else if (event instanceof AttemptEnded e) {
            onAttemptEnded(e);
        } else if (event instanceof CallCancelled e) {
            OutgoingCall call = calls.get(e.callId());
            if (call != null) {
                complete(call, CallResult.CANCELLED, 0);
            }
        } else if (event instanceof ConnectionLost e) {
            nodes.onConnectionLost(e.node(), now);
        } else if (event instanceof NodesChanged e) {
            updateNodes(e.addresses());
        } else if (event instanceof DeduplicationScopeStated e) {
            recordDeduplicationScope(e);
        } else if (event instanceof ScopeQueryEnded e) {
            onScopeQueryEnded(e);
        } else {
            timerAt = Long.MAX_VALUE;
        }
        processWaitingCalls();
        return actions;
    }

    private void updateNodes(List<String> addresses) {
        nodes.update(addresses);
        deduplicationScopes.updateNodes(nodes.addresses());
    }

    /** Ignores a statement of a node that this client no longer uses, because nothing would ever replace it. */
    private void recordDeduplicationScope(DeduplicationScopeStated stated) {
        if (nodes.contains(stated.node())) {
            deduplicationScopes.record(stated.node(), stated.requestClass(), stated.scope());
        }
    }

    private void startCall(CallStarted started) {
        if (calls.containsKey(started.callId())) {
            return;
        }
        OutgoingCall call =
                new OutgoingCall(started.callId(), started.requestClass(), started.idempotency(), started.deadline());
        calls.put(call.id, call);
        retryBudget.recordCall(now);
        call.recordedInRetryBudget = true;
        sendAttempt(call);
    }

    /**
     * Resumes the calls that wait for a time or for a node with capacity, ends those whose deadline has passed, and
     * schedules the next timer.
     */
    private void processWaitingCalls() {
        long nextTimer = Long.MAX_VALUE;
        for (OutgoingCall call : List.copyOf(calls.values())) {
            if (now >= call.deadline) {
                onDeadlineExceeded(call);
            } else if (call.currentNode == null && call.resumeAt <= now) {
                sendAttempt(call);
            }
            if (calls.containsKey(call.id)) {
                nextTimer = Math.min(
                        nextTimer,
                        call.currentNode == null && call.resumeAt > now
                                ? Math.min(call.resumeAt, call.deadline)
                                : call.deadline);
            }
        }
        if (nextTimer < timerAt) {
            timerAt = nextTimer;
            actions.add(new ScheduleTimer(nextTimer));
        }
    }

    private void onDeadlineExceeded(OutgoingCall call) {
        if (call.currentNode != null) {
            // A node that does not answer in time counts as failed. But a probe that is cut short by the deadline of
            // its own call proves nothing, and ejecting the node again would keep the client away from a node that
            // may be up.
            LatencyEstimate latency = latencyByClass.get(call.requestClass);
            if (call.currentNode.availability != NodeState.Availability.PROBING
                    || now - call.sentAt >= (latency == null ? DEFAULT_RESPONSE_TIMEOUT : latency.responseTimeout())) {
                nodes.recordFailure(call.currentNode, now);
            }
            markPossiblyExecuted(call);
        }
        complete(
                call,
                call.possiblyExecuted
                        ? unansweredResult(call)
                        : call.lastOutcome == AttemptOutcome.REJECTED
                                ? CallResult.REJECTED
                                : CallResult.DEADLINE_EXCEEDED,
                0);
    }

    private CallResult unansweredResult(OutgoingCall call) {
        return call.idempotency == Idempotency.IDEMPOTENT ? CallResult.FAILED : CallResult.OUTCOME_UNKNOWN;
    }

    private void markPossiblyExecuted(OutgoingCall call) {
        if (!call.possiblyExecuted) {
            call.possiblyExecuted = true;
            call.possiblyExecutedSince = call.sentAt;
        }
    }

    /** Sends the call to a node, lets it wait if that can help, or ends it. */
    private void sendAttempt(OutgoingCall call) {
        if (!retryRules.mayBePlanned(call, now)) {
            endUnanswered(call, 0);
            return;
        }
        boolean scopeNeeded = !retryRules.mayBeSent(call, now);
        if (scopeNeeded && queriedNodeByClass.containsKey(call.requestClass)) {
            call.resumeAt = 0;
            return;
        }
        if (nodes.isEmpty()) {
            complete(call, call.possiblyExecuted ? unansweredResult(call) : CallResult.UNREACHABLE, 0);
            return;
        }
        Predicate<NodeState> eligible =
                candidate -> !scopeNeeded || deduplicationScopes.mayBeQueried(candidate.address, call.requestClass);
        NodeState node = nodes.pick(eligible, call.previousNode, now);
        if (node == null) {
            awaitNode(call, nodes.earliestAvailable(eligible));
        } else if (!canFinishInTime(call, now)) {
            failWithoutAttempt(call, 0);
        } else if (scopeNeeded) {
            queryScope(call, node);
        } else {
            sendUnlessThrottled(call, node);
        }
    }

    /** Lets the call wait until a node becomes available, or ends it if that is too late. */
    private void awaitNode(OutgoingCall call, long earliestAvailable) {
        boolean timeIsKnown = earliestAvailable < Long.MAX_VALUE && earliestAvailable > now;
        if (timeIsKnown
                && !(canFinishInTime(call, earliestAvailable) && retryRules.mayBePlanned(call, earliestAvailable))) {
            failWithoutAttempt(call, earliestAvailable - now);
            return;
        }
        // A resumeAt of 0 means that this depends on a probe in flight or on a node without capacity: the call then
        // resumes when the outcome of an attempt at such a node is known.
        call.resumeAt = timeIsKnown ? earliestAvailable : 0;
    }

    private void sendUnlessThrottled(OutgoingCall call, NodeState node) {
        AdaptiveThrottle throttle = node.throttles.computeIfAbsent(
                call.requestClass, c -> new AdaptiveThrottle(policy.throttleMultiplier()));
        if (random.nextDouble() < throttle.rejectionProbability(now)
                && node.availability == NodeState.Availability.UP) {
            throttle.recordRejection(now);
            complete(
                    call,
                    call.possiblyExecuted ? unansweredResult(call) : CallResult.THROTTLED,
                    policy.initialBackoff());
            return;
        }
        call.currentNode = node;
        call.sentAt = now;
        node.onSent();
        actions.add(new SendAttempt(
                call.id, call.attempts++, node.address, call.deadline - now, retryRules.sendableTime(call, now)));
    }

    /** Asks the node for the deduplication scope; the call resumes when the query has ended. */
    private void queryScope(OutgoingCall call, NodeState node) {
        if (call.scopeQueries >= policy.maxAttempts()) {
            endUnanswered(call, 0);
            return;
        }
        call.scopeQueries++;
        call.resumeAt = 0;
        queriedNodeByClass.put(call.requestClass, node);
        node.onSent();
        long usefulTime = Math.min(call.deadline - now, retryRules.remainingWindow(call, now));
        long timeout = Math.min(DEFAULT_RESPONSE_TIMEOUT, usefulTime);
        actions.add(new QueryScope(node.address, call.requestClass, timeout));
    }

    private void onScopeQueryEnded(ScopeQueryEnded ended) {
        NodeState node = queriedNodeByClass.remove(ended.requestClass());
        if (node != null) {
            nodes.recordOutcome(node, ended.outcome(), ended.retryAfter(), now);
        }
    }

    private boolean canFinishInTime(OutgoingCall call, long startTime) {
        LatencyEstimate latency = latencyByClass.get(call.requestClass);
        return startTime + (latency == null ? 0 : latency.minimum()) < call.deadline;
    }

    private void failWithoutAttempt(OutgoingCall call, long retryAfter) {
        CallResult result = call.possiblyExecuted
                ? unansweredResult(call)
                : call.lastOutcome == AttemptOutcome.REJECTED
                        ? CallResult.REJECTED
                        : nodes.noneIsUp()
                                ? CallResult.UNREACHABLE
                                : call.lastOutcome == null && nodes.anyWaitsForRetryAfter(now)
                                        ? CallResult.REJECTED
                                        : CallResult.DEADLINE_EXCEEDED;
        complete(call, result, retryAfter);
    }

    private void onAttemptEnded(AttemptEnded ended) {
        OutgoingCall call = calls.get(ended.callId());
        if (call == null || call.currentNode == null || ended.attempt() != call.attempts - 1) {
            return;
        }
        NodeState node = call.currentNode;
        call.currentNode = null;
        call.previousNode = node;
        call.lastOutcome = ended.outcome();
        nodes.recordOutcome(node, ended.outcome(), ended.retryAfter(), now);
        recordInThrottle(node.throttles.get(call.requestClass), ended.outcome());
        if (ended.outcome() == AttemptOutcome.OK) {
            latencyByClass
                    .computeIfAbsent(call.requestClass, c -> new LatencyEstimate())
                    .record(now - call.sentAt);
            complete(call, CallResult.SUCCEEDED, 0);
            return;
        }
        if (!ended.outcome().notExecuted) {
            markPossiblyExecuted(call);
        }
        retryOrEnd(call, ended.retryAfter());
    }

    private void recordInThrottle(AdaptiveThrottle throttle, AttemptOutcome outcome) {
        switch (outcome) {
            case OK, ERROR_RESPONSE -> throttle.recordAccept(now);
            case REJECTED -> throttle.recordRejection(now);
            case STALE_CONNECTION, NOT_SENT, TRANSPORT_ERROR -> {
                // Not a response of the node.
            }
        }
    }

    private void retryOrEnd(OutgoingCall call, long retryAfter) {
        if (!retryRules.mayBePlanned(call, now) || call.attempts >= policy.maxAttempts()) {
            endUnanswered(call, retryAfter);
            return;
        }
        // A connection that was closed while idle is no sign of overload. The first retry of a call after a stale
        // connection or an unsent attempt therefore waits for no backoff and takes no retry token.
        boolean unbudgeted =
                (call.lastOutcome == AttemptOutcome.STALE_CONNECTION || call.lastOutcome == AttemptOutcome.NOT_SENT)
                        && !call.unbudgetedRetryUsed;
        if (!unbudgeted && !retryBudget.tryRetry(now)) {
            endUnanswered(call, retryAfter);
            return;
        }
        call.unbudgetedRetryUsed |= unbudgeted;
        call.backoff = unbudgeted ? 0 : retryRules.nextBackoff(call.backoff);
        // The retry waits for Retry-After plus the backoff, so that clients do not return at the same time.
        long retryAt = now + NodePool.boundedRetryAfter(retryAfter) + call.backoff;
        if (nodes.size() > 1 && retryAfter > 0) {
            // The retry goes to another node, which has not sent Retry-After.
            retryAt = now + call.backoff;
        }
        if (!canFinishInTime(call, retryAt) || !retryRules.mayBePlanned(call, retryAt)) {
            endUnanswered(call, retryAfter);
            return;
        }
        call.resumeAt = retryAt;
    }

    private void endUnanswered(OutgoingCall call, long retryAfter) {
        CallResult result = call.possiblyExecuted
                ? unansweredResult(call)
                : call.lastOutcome == AttemptOutcome.REJECTED ? CallResult.REJECTED : CallResult.UNREACHABLE;
        complete(call, result, result == CallResult.REJECTED ? NodePool.boundedRetryAfter(retryAfter) : 0);
    }

    private void complete(OutgoingCall call, CallResult result, long retryAfter) {
        calls.remove(call.id);
        if (call.currentNode != null) {
            call.currentNode.inFlight--;
            if (call.currentNode.availability == NodeState.Availability.PROBING) {
                // The outcome of the abandoned probe is lost, so another probe is allowed at once.
                call.currentNode.eject(now, now);
            }
            actions.add(new CancelAttempt(call.id, call.attempts - 1));
            call.currentNode = null;
        }
        actions.add(new CompleteCall(call.id, result, call.attempts, retryAfter));
    }

    /** Returns the number of calls that have not ended. */
    public int pendingCallCount() {
        return calls.size();
    }

    /** Returns the nodes of this client's subset, highest-ranked first unless the list of nodes has changed. */
    public List<String> nodes() {
        return nodes.addresses();
    }
}

package weldhitch.decision.action;

/** An action for the node to execute. The balancer returns actions in the order of their execution. */
public sealed interface BalancerAction
        permits SendAttempt,
                CancelAttempt,
                RejectRequest,
                FailRequest,
                ScheduleTimer,
                SubscribeToEndpoints,
                LogMessage,
                RequestZones {}

package weldhitch.decision.action;

/** An action for the node to execute, in the order returned. */
public sealed interface BalancerAction
        permits SendAttempt,
                CancelAttempt,
                RejectRequest,
                FailRequest,
                ScheduleTimer,
                SubscribeToEndpoints,
                LogMessage,
                RequestZones {}

package weldhitch.decision.event;

/** An event that the balancer handles. */
public sealed interface BalancerEvent
        permits EndpointsChanged,
                RequestArrived,
                ResponseStarted,
                AttemptEnded,
                ClientDisconnected,
                TimerFired,
                HealthCheckCompleted,
                RoutesChanged,
                ZonesAssigned {}

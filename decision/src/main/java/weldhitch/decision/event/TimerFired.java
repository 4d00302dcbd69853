package weldhitch.decision.event;

import weldhitch.decision.action.ScheduleTimer;

/** A timer that a {@link ScheduleTimer} scheduled has fired. */
public record TimerFired(String token) implements BalancerEvent {}

package weldhitch.decision.event;

import weldhitch.decision.action.ScheduleTimer;

/** Reports that a timer that was scheduled by {@link ScheduleTimer} has fired. */
public record TimerFired(String token) implements BalancerEvent {}

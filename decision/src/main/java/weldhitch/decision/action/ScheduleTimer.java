package weldhitch.decision.action;

import weldhitch.decision.event.TimerFired;

/** Schedules a {@link TimerFired} after this delay in nanoseconds. */
public record ScheduleTimer(long delay, String token) implements BalancerAction {}

package weldhitch.decision.action;

import weldhitch.decision.event.TimerFired;

/** Schedules a {@link TimerFired} event after {@code delay} nanoseconds. */
public record ScheduleTimer(long delay, String token) implements BalancerAction {}

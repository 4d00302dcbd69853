package weldhitch.decision.settings;

/** Fields that a load report may have. */
public enum LoadReportField {
    IN_FLIGHT,
    QUEUE_LENGTH,
    UTILIZATION,
    LATENCY_MS,
    THROUGHPUT,
    ERRORS_PER_SECOND,
    OTHER
}

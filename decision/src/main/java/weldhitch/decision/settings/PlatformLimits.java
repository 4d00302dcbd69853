package weldhitch.decision.settings;

/**
 * The limits that the platform sets.
 *
 * @param maxAttempts the maximum number of attempts of a request, the first included
 * @param hedgingAllowed whether hedged requests are allowed
 * @param cancellationAllowed whether attempts may be cancelled
 * @param healthChecksAllowed whether health checks are allowed
 * @param retryAfterAllowed whether rejections may carry Retry-After advice
 * @param maxRetryAfter the longest Retry-After advice in nanoseconds
 * @param connectTimeout the connect timeout in nanoseconds
 */
public record PlatformLimits(
        int maxAttempts,
        boolean hedgingAllowed,
        boolean cancellationAllowed,
        boolean healthChecksAllowed,
        boolean retryAfterAllowed,
        long maxRetryAfter,
        long connectTimeout) {
    public PlatformLimits {
        SettingRange.require(maxAttempts >= 1, "limits.maxAttempts", maxAttempts, "1 or more");
        SettingRange.require(maxRetryAfter >= 0, "limits.maxRetryAfter", maxRetryAfter, "0 or more");
        SettingRange.require(connectTimeout >= 0, "limits.connectTimeout", connectTimeout, "0 or more");
    }
}

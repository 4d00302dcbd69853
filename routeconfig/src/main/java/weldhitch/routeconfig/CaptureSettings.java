package weldhitch.routeconfig;

import java.nio.file.Path;
import weldhitch.capture.policy.CaptureLimits;

/**
 * The section {@code [capture]}. Immutable.
 *
 * @param enabled whether everything that decisions depend on is captured
 * @param directory where captures are written
 * @param rules how captures are split into segments and how much of them is retained
 */
public record CaptureSettings(boolean enabled, Path directory, CaptureLimits rules) {}

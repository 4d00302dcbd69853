package weldhitch.routeconfig;

import java.nio.file.Path;
import weldhitch.capture.policy.CaptureLimits;

/**
 * The settings of the section {@code [capture]}. Immutable.
 *
 * @param enabled whether the node captures everything that its decisions depend on
 * @param directory the directory to which captures are written
 * @param rules the limits by which captures are split into segments and retained
 */
public record CaptureSettings(boolean enabled, Path directory, CaptureLimits rules) {}

package weldhitch.operator;

import java.nio.file.Path;
import weldhitch.capture.policy.CaptureRules;

/** The section {@code [capture]}: whether everything that decisions rest on is written down, where, and how much is kept. */
public record CaptureSettings(boolean on, Path directory, CaptureRules rules) {
}

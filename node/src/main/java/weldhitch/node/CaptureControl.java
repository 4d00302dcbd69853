package weldhitch.node;

import io.netty.channel.EventLoop;
import java.util.Objects;
import weldhitch.capture.live.CaptureRecorder;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.routeconfig.CaptureSettings;

/**
 * Starts and stops a node's capture as the route configuration requires, and owns the active capture. While capture
 * is off, no recorder exists. Thread-safe; must not be called on the event loop.
 */
final class CaptureControl {
    private final String nodeName;
    private final BalancerSettings settings;
    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private CaptureSettings activeSettings;
    private CaptureRecorder capture;

    CaptureControl(String nodeName, BalancerSettings settings, EventLoop loop, Dispatcher dispatcher) {
        this.nodeName = nodeName;
        this.settings = settings;
        this.loop = loop;
        this.dispatcher = dispatcher;
    }

    /**
     * Applies these settings; null stops the capture. Waits for the event loop and the disk, so it must not be called
     * on the event loop.
     */
    synchronized void apply(CaptureSettings requested) {
        if (Objects.equals(requested, activeSettings)) {
            return;
        }
        activeSettings = null;
        stopActive();
        if (requested != null && requested.enabled()) {
            String build = "weldhitch 0.1.0, Java " + Runtime.version();
            capture = new CaptureRecorder(
                    requested.directory(),
                    requested.rules(),
                    nodeName,
                    build,
                    settings,
                    dispatcher::snapshot,
                    Log::line);
            attach(capture);
            Log.line("capture started directory=" + requested.directory());
        }
        // Only now: settings that could not be applied are applied by the next reload.
        activeSettings = requested;
    }

    private void stopActive() {
        if (capture != null) {
            CaptureRecorder stopped = capture;
            capture = null;
            attach(null);
            stopped.close();
            Log.line("capture stopped");
        }
    }

    private void attach(CaptureRecorder next) {
        loop.submit(() -> dispatcher.capture(next)).syncUninterruptibly();
    }
}

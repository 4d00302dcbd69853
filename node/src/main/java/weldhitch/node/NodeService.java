package weldhitch.node;

import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Function;
import weldhitch.decision.lifecycle.ProcessLifecycle;
import weldhitch.decision.lifecycle.ProcessLifecycle.LifecycleAction;

/**
 * Runs a node as a process and executes what {@link ProcessLifecycle} decides for each signal. Installs the signal
 * handlers before any client can connect: without them the runtime ends the process on a signal, and the requests
 * received by then are lost. Thread-safe: each signal arrives on a separate thread.
 */
public final class NodeService {
    private static final int EXIT_CONFIG = 78;

    private final Map<String, String> environment;
    /** Guarded by itself, because each signal arrives on a separate thread. */
    private final ProcessLifecycle lifecycle = new ProcessLifecycle();

    private volatile Node node;

    NodeService(Map<String, String> environment, Signals signals) {
        this.environment = environment;
        signals.onHangUp(() -> reload(ProcessLifecycle::onHangUp));
        signals.onTerminate(this::terminate);
    }

    /**
     * Runs a node with the configuration that the environment names, until the process is terminated.
     *
     * @param operatorFile the route configuration file, or null for none
     */
    public static void main(Path operatorFile) {
        try {
            new NodeService(System.getenv(), Signals.ofProcess()).start(operatorFile);
        } catch (InvalidConfigException e) {
            System.err.println("weldhitch: " + e.getMessage());
            System.exit(EXIT_CONFIG);
        } catch (Throwable e) {
            // An Error too: the threads that the start has left behind would keep the process without a listener.
            System.err.println("weldhitch: start failed: " + e);
            System.exit(1);
        }
    }

    /** Starts the node and returns once it listens, or without listening if it was terminated before. */
    Node start(Path operatorFile) throws Exception {
        NodeConfig config = NodeConfig.load(environment);
        Node prepared = Node.prepare(config, operatorFile);
        node = prepared;
        Future<ChannelFuture> bindFuture;
        synchronized (lifecycle) {
            if (!lifecycle.tryOpenListener()) {
                prepared.stop();
                return prepared;
            }
            bindFuture = prepared.bind(config);
        }
        prepared.awaitBound(bindFuture);
        reload(ProcessLifecycle::onListening);
        return prepared;
    }

    /**
     * Reloads the configuration as often as the lifecycle transition requires. The lifecycle learns the end of each
     * reload however it ends, because until then it only notes further signals.
     */
    private void reload(Function<ProcessLifecycle, LifecycleAction> transition) {
        for (LifecycleAction step = apply(transition);
                step == LifecycleAction.RELOAD;
                step = apply(ProcessLifecycle::onReloaded)) {
            try {
                node.reload(environment);
            } catch (Throwable e) {
                Log.failureUnlessExhausted("config reload failed", e);
            }
        }
    }

    private void terminate() {
        if (apply(ProcessLifecycle::onTerminate) == LifecycleAction.DRAIN) {
            node.drain();
            synchronized (lifecycle) {
                lifecycle.onDrained();
            }
        }
    }

    private LifecycleAction apply(Function<ProcessLifecycle, LifecycleAction> transition) {
        synchronized (lifecycle) {
            return transition.apply(lifecycle);
        }
    }
}

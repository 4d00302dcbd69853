package weldhitch.node;

import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Function;
import weldhitch.decision.LifeCycle;
import weldhitch.decision.LifeCycle.Step;

/**
 * A node as a process: carries out what {@link LifeCycle} says of each signal. It listens to signals before anybody can connect,
 * as without handlers of its own the runtime ends the process on them, and what the node has taken by then is lost.
 */
public final class NodeService {
    private static final int EXIT_CONFIG = 78;

    private final Map<String, String> environment;
    /** Guarded by itself: signals come on threads of their own. */
    private final LifeCycle life = new LifeCycle();
    private volatile Node node;

    NodeService(Map<String, String> environment, Signals signals) {
        this.environment = environment;
        signals.onHangUp(() -> reload(LifeCycle::hangUp));
        signals.onTerminate(this::end);
    }

    /**
     * Runs a node as the environment says, until it is told to stop.
     *
     * @param operator the operator file, or null for none
     */
    public static void main(Path operator) {
        try {
            new NodeService(System.getenv(), Signals.ofProcess()).start(operator);
        } catch (NodeConfig.InvalidConfigException e) {
            System.err.println("weldhitch: " + e.getMessage());
            System.exit(EXIT_CONFIG);
        } catch (Exception e) {
            System.err.println("weldhitch: cannot start: " + e);
            System.exit(1);
        }
    }

    /** Starts the node and returns when it listens, or, where it was told to end before, without one that does. */
    Node start(Path operator) throws Exception {
        NodeConfig config = NodeConfig.load(environment);
        Node made = Node.prepare(config, operator);
        node = made;
        Future<ChannelFuture> opening;
        synchronized (life) {
            if (!life.mayListen()) {
                made.stop();
                return made;
            }
            opening = made.opening(config);
        }
        made.listen(opening);
        reload(LifeCycle::listening);
        return made;
    }

    /** Reads the configuration as often as what has happened calls for. */
    private void reload(Function<LifeCycle, Step> happened) {
        for (Step step = told(happened); step == Step.RELOAD; step = told(LifeCycle::reloaded)) {
            try {
                node.reload(environment);
            } catch (RuntimeException e) {
                Log.failure("reading the configuration again", e);
            }
        }
    }

    private void end() {
        if (told(LifeCycle::terminate) == Step.DRAIN) {
            node.drain();
            synchronized (life) {
                life.drained();
            }
        }
    }

    private Step told(Function<LifeCycle, Step> happened) {
        synchronized (life) {
            return happened.apply(life);
        }
    }
}

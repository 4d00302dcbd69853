package weldhitch.node;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/**
 * Reports an {@link Error} of an event loop's I/O at once: the loop does not go on after it, but its thread ends only
 * after a quiet period, in which the process answers nobody. Confined to the event loop.
 */
final class FailFastIoHandler implements IoHandler {
    private final IoHandler delegate;
    private final Runnable onError;

    FailFastIoHandler(IoHandler delegate, Runnable onError) {
        this.delegate = delegate;
        this.onError = onError;
    }

    @Override
    public int run(IoHandlerContext context) {
        try {
            return delegate.run(context);
        } catch (Error e) {
            onError.run();
            throw e;
        }
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return delegate.isCompatible(handleType);
    }
}

package weldhitch.node;

/** Registers handlers for the signals that reload the configuration (SIGHUP) and terminate the process (SIGTERM). */
interface Signals {
    /** Makes SIGHUP run the handler, on a thread that may block, instead of ending the process. */
    void onHangUp(Runnable handler);

    /** Makes SIGTERM run the handler, on a thread that may block; the process ends when the handler returns. */
    void onTerminate(Runnable handler);

    /** Returns the signals that the operating system sends to this process. */
    static Signals ofProcess() {
        return new Signals() {
            @Override
            public void onHangUp(Runnable handler) {
                sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> handler.run());
            }

            @Override
            public void onTerminate(Runnable handler) {
                Runtime.getRuntime().addShutdownHook(new Thread(handler, "drain"));
            }
        };
    }
}

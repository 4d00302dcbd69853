package weldhitch.node;

/** Registers handlers for the signals to reload the configuration (SIGHUP) and to terminate (SIGTERM). */
interface Signals {
    /** From now on SIGHUP runs this, on a thread that may block, and no longer ends the process. */
    void onHangUp(Runnable handler);

    /** From now on SIGTERM runs this, on a thread that may block, and the process ends when it returns. */
    void onTerminate(Runnable handler);

    /** The signals of the operating system. */
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

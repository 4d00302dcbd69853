package weldhitch.node;

/** Registers handlers for the signals to reload the configuration (SIGHUP) and to terminate (SIGTERM). */
interface Signals {
    /** From now on SIGHUP runs this, on a thread that may block, and no longer ends the process. */
    void onHangUp(Runnable reload);

    /** From now on SIGTERM runs this, on a thread that may block, and the process ends when it returns. */
    void onTerminate(Runnable end);

    /** The signals of the operating system. */
    static Signals ofProcess() {
        return new Signals() {
            @Override
            public void onHangUp(Runnable reload) {
                sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> reload.run());
            }

            @Override
            public void onTerminate(Runnable end) {
                Runtime.getRuntime().addShutdownHook(new Thread(end, "drain"));
            }
        };
    }
}

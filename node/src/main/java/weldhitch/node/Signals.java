package weldhitch.node;

/** How a process hears that it is to read its configuration again (SIGHUP), or to end (SIGTERM). */
interface Signals {
    /** From here on SIGHUP runs this, on a thread that may wait, and no longer ends the process. */
    void onHangUp(Runnable reload);

    /** From here on SIGTERM runs this, on a thread that may wait, and the process ends when it returns. */
    void onTerminate(Runnable end);

    /** Those of the operating system. */
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

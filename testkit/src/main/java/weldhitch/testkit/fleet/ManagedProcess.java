package weldhitch.testkit.fleet;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import weldhitch.testkit.TestSupport;

/**
 * A process that a test starts, signals and restarts, with a fixed name in the event log. Its standard error is
 * copied to the event log. Thread-safe.
 */
public final class ManagedProcess implements Closeable {
    private static final Pattern LISTEN_ADDRESS = Pattern.compile("listens on \\S*?127\\.0\\.0\\.1:(\\d+)");

    private final EventLog eventLog;
    private final String name;
    private final List<String> command;
    private final Map<String, String> environment;
    private Process process;
    private CountDownLatch listening = new CountDownLatch(1);
    private volatile int port;
    private volatile boolean suspended;

    /** Creates the object without starting the process. */
    public ManagedProcess(EventLog eventLog, String name, List<String> command, Map<String, String> environment) {
        this.eventLog = eventLog;
        this.name = name;
        this.command = List.copyOf(command);
        this.environment = Map.copyOf(environment);
    }

    /** Returns the name in the event log. */
    public String name() {
        return name;
    }

    /** Starts or restarts the process and copies its log to the event log; fails if the process is running. */
    public synchronized ManagedProcess start() throws IOException {
        if (process != null && process.isAlive()) {
            throw new IllegalStateException(name + " is already running");
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        CountDownLatch portAnnounced = new CountDownLatch(1);
        listening = portAnnounced;
        port = 0;
        eventLog.append(name, "START");
        Process started = builder.start();
        process = started;
        suspended = false;
        TestSupport.startDaemon(() -> {
            try (BufferedReader log = started.errorReader(StandardCharsets.UTF_8)) {
                for (String line = log.readLine(); line != null; line = log.readLine()) {
                    Matcher matcher = LISTEN_ADDRESS.matcher(line);
                    if (portAnnounced.getCount() > 0 && matcher.find()) {
                        port = Integer.parseInt(matcher.group(1));
                        portAnnounced.countDown();
                    }
                    eventLog.append(name, line);
                }
            } finally {
                started.waitFor();
                eventLog.append(name, "ENDED with " + started.exitValue());
                portAnnounced.countDown();
            }
        });
        return this;
    }

    /** Waits for the process to log its loopback port, and returns the port; fails if the process ends before. */
    public int awaitPort() throws InterruptedException {
        CountDownLatch portAnnounced;
        synchronized (this) {
            portAnnounced = listening;
        }
        if (!portAnnounced.await(3 * TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS) || port == 0) {
            throw new AssertionError(name + " did not log its port; the latest events:\n" + eventLog.tail(20));
        }
        return port;
    }

    /** Returns the port on which the process listens; 0 while it does not listen or is suspended. */
    public int currentPort() {
        return isRunning() ? port : 0;
    }

    /** Returns the port of a process that exists, suspended or not; 0 until it listens. */
    public int listenPort() {
        return isAlive() ? port : 0;
    }

    /** Returns whether the process has been started and has neither ended nor been suspended. */
    public synchronized boolean isRunning() {
        return process != null && process.isAlive() && !suspended;
    }

    /** Returns whether the process exists, suspended or not. */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Waits for the process to end and returns its exit status; fails if it does not end within the timeout. */
    public int awaitExit() throws InterruptedException {
        Process started;
        synchronized (this) {
            started = process;
        }
        if (!started.waitFor(TestSupport.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError(name + " did not exit within the timeout");
        }
        return started.exitValue();
    }

    /**
     * Sends a signal to the process by its short name (TERM, HUP, STOP, CONT or KILL). Does nothing if the process has
     * ended.
     */
    public synchronized void signal(String signal) throws IOException, InterruptedException {
        if (process == null || !process.isAlive()) {
            return;
        }
        eventLog.append(name, "SIG" + signal);
        if (signal.equals("STOP")) {
            suspended = true;
        }
        int exitStatus = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (exitStatus != 0 && process.isAlive()) {
            throw new IOException("kill -" + signal + " " + name + " exited with status " + exitStatus);
        }
        if (signal.equals("CONT")) {
            suspended = false;
        }
        if (signal.equals("KILL")) {
            process.waitFor();
        }
    }

    @Override
    public synchronized void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}

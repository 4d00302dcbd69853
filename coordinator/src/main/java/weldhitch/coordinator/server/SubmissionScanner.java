package weldhitch.coordinator.server;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import weldhitch.fleet.error.FleetError;

/**
 * Scans the {@link SubmissionDirectory} periodically on a thread of its own, so that a file that is slow to read or to
 * check does not delay decisions. Files are handed over to a receiver, and the next scan begins once it has handled
 * them. A failure of a scan ends only this scan.
 *
 * <p>Thread-safe.
 */
final class SubmissionScanner {
    private static final long SCAN_INTERVAL_MS = 200;

    /** Receives what a scan has found; called on the scanner's thread. */
    interface Receiver {
        /**
         * Takes over files that are new since the last scan, and the members named by removal files, which are passed
         * again by each scan until {@link #markAccepted} moves their file.
         *
         * @return completes once everything is handled
         */
        Future<?> onScan(List<SubmissionDirectory.SubmittedFile> submitted, Map<String, Path> removedMembers);

        /** Reports a file that is not a valid version, or a scan that failed. */
        void onError(FleetError error);
    }

    private final SubmissionDirectory directory;
    private final Receiver receiver;
    private final TaskGuard guard;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "submissions");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates a scanner that is not started yet.
     *
     * @param directory used only on the scanner's thread from now on
     */
    SubmissionScanner(SubmissionDirectory directory, Receiver receiver, TaskGuard guard) {
        this.directory = directory;
        this.receiver = receiver;
        this.guard = guard;
    }

    /** Starts the scans. */
    void start() {
        executor.scheduleWithFixedDelay(
                guard.guarded("scan of submissions", this::scan),
                SCAN_INTERVAL_MS,
                SCAN_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Moves a file that has been handled to {@code taken}, after the scan that may be running. */
    void markAccepted(Path file, long number) {
        try {
            executor.execute(guard.guarded("move of a submission", () -> directory.markAccepted(file, number)));
        } catch (RejectedExecutionException e) {
            // The scanner has been stopped. A version that is already prepared is recognized by its submission id.
        }
    }

    /** Stops the scans; waits up to a second for the one that is running and for files that are to be moved. */
    void stop() {
        executor.shutdown();
        try {
            executor.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        executor.shutdownNow();
    }

    private void scan() {
        List<FleetError> errors = new ArrayList<>();
        List<SubmissionDirectory.SubmittedFile> submitted = directory.scan(errors);
        errors.forEach(receiver::onError);
        Map<String, Path> removedMembers = directory.removedMembers();
        if (submitted.isEmpty() && removedMembers.isEmpty()) {
            return;
        }
        boolean handled = false;
        try {
            receiver.onScan(submitted, removedMembers).get();
            handled = true;
        } catch (InterruptedException | RejectedExecutionException e) {
            // The coordinator is being stopped; its successor scans the files again.
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            if (!handled) {
                directory.forget(submitted);
            }
        }
    }
}

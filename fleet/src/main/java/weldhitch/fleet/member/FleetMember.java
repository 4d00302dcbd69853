package weldhitch.fleet.member;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import weldhitch.fleet.activation.ActivationParticipant;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.activation.MemberHeartbeatResponse;
import weldhitch.fleet.activation.MemberResponse;
import weldhitch.fleet.activation.RouteVersion;
import weldhitch.fleet.locality.FleetView;
import weldhitch.fleet.locality.NodeLoadReport;
import weldhitch.fleet.member.VersionTableBuilder.BuildResult;
import weldhitch.fleet.table.VersionedTables;

/**
 * A running fleet member. It owns the thread that exchanges heartbeats with the coordinators, builds the tables of
 * versions and publishes the active ones. Requests acquire tables from {@link #tables} on any thread. While no
 * coordinator responds as leader, no new version is prepared and the tables stay published. The lock of this object
 * guards the participant and the built tables.
 *
 * @param <T> the contents of a version's table
 */
public final class FleetMember<T> implements AutoCloseable {
    /** Builds the tables of versions; called on the member's thread. */
    public interface TableBuilder<T> {
        /**
         * Builds a version's table; may block.
         *
         * @param file the name of the bundle in error messages
         * @param errors receives the reasons why the table cannot be built, one per line
         * @return the table; may be null if there were errors
         */
        T build(String file, byte[] bundle, Consumer<String> errors);
    }

    /** Supplies zone load reports and receives the fleet's view of zones; called on the member's thread. */
    public interface ZoneLoadExchange {
        /** Returns the report to send now, or null if there are no locality rules. */
        NodeLoadReport loadReport();

        /**
         * Handles the fleet view in the response to a heartbeat that was sent at {@code sentAt}, a time of {@link
         * System#nanoTime}.
         */
        void onFleetView(FleetView view, long sentAt);
    }

    /** Polls a discovery service that all nodes share, in assigned poll slots; called on the member's thread. */
    public interface ListPoller {
        /**
         * Returns the remaining delay before the next poll without an assigned poll slot, in nanoseconds; below 0 if no
         * poll slot is wanted.
         */
        long ownPollDelayNanos();

        /** Sets the time of the next poll to an assigned poll slot, a time of {@link System#nanoTime}. */
        void assignPollTime(long at);
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long LONG_POLL_MILLIS = 500;
    /**
     * The long poll time with locality rules; shorter because quota grants depend on a frequent exchange of reports
     * and views.
     */
    private static final long LOCALITY_LONG_POLL_MILLIS = 200;

    private static final long MIN_HEARTBEAT_INTERVAL = 40 * NANOS_PER_MILLI;
    private static final long RETRY_DELAY = 150 * NANOS_PER_MILLI;
    private static final long JOIN_TIMEOUT_MILLIS = 1000;
    /** Range that the hash of the incarnation is reduced to, so that members start with different coordinators. */
    private static final int FIRST_COORDINATOR_RANGE = 1 << 20;

    private final CoordinatorClient coordinators;
    private final ActivationParticipant participant;
    private final VersionTableBuilder<T> versionTableBuilder;
    private final BuiltTables<T> tables;
    private final CoordinatorOutageLog outageLog;
    private final Consumer<String> log;
    private final ZoneLoadExchange zoneLoadExchange;
    private final ListPoller listPoller;
    private final Thread thread;
    private volatile boolean closing;
    /**
     * Number of the version that was rejected last. It is not built again when later responses name it. Used on the
     * member's thread only.
     */
    private long rejectedVersion;

    /**
     * Starts the member's thread, which begins to call the coordinators.
     *
     * @param member the name that identifies this node to the coordinators
     * @param incarnation an identifier that is new with each start of the process
     * @param ownContent the table of version 0, the node's own file
     * @param tableBuilder builds the tables of the other versions
     * @param zoneLoadExchange exchanges zone loads
     * @param listPoller polls the discovery service
     * @param log receives log lines; called on the member's thread
     */
    public FleetMember(
            FleetSettings settings,
            String member,
            String incarnation,
            T ownContent,
            TableBuilder<T> tableBuilder,
            ZoneLoadExchange zoneLoadExchange,
            ListPoller listPoller,
            Consumer<String> log) {
        this.zoneLoadExchange = zoneLoadExchange;
        this.listPoller = listPoller;
        this.log = log;
        coordinators = new CoordinatorClient(
                settings.cluster(),
                settings.coordinators(),
                Math.floorMod(incarnation.hashCode(), FIRST_COORDINATOR_RANGE));
        versionTableBuilder = new VersionTableBuilder<>(coordinators, tableBuilder);
        participant = new ActivationParticipant(
                member, incarnation, LeaseTiming.DEFAULT.maxClockDrift(), settings.fenceBeforeJoin());
        outageLog = new CoordinatorOutageLog(member, log, System.nanoTime());
        tables = new BuiltTables<>(ownContent, participant.activeVersions(System.nanoTime()));
        thread = new Thread(this::run, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the published tables, from which requests acquire theirs. */
    public VersionedTables<T> tables() {
        return tables.published();
    }

    /**
     * Replaces the table of version 0. Versions that the fleet has committed stay active. Blocks on a lock, so it
     * must not be called on an event loop.
     */
    public void replaceOwnTable(T newContent) {
        synchronized (this) {
            tables.putOwn(newContent);
            publish();
        }
    }

    private void run() {
        while (!closing) {
            long startedAt = System.nanoTime();
            try {
                exchangeHeartbeat();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                // A failure here must not affect requests, and must not end this thread, without which the node is
                // not a member any more; the active version stays active.
                reportFailure(e);
                LockSupport.parkNanos(RETRY_DELAY);
            }
            long remaining = MIN_HEARTBEAT_INTERVAL - (System.nanoTime() - startedAt);
            if (remaining > 0) {
                LockSupport.parkNanos(remaining);
            }
        }
    }

    private void reportFailure(Throwable failure) {
        try {
            log.accept("fleet: heartbeat failed error=\"" + failure + "\"");
        } catch (RuntimeException | Error e) {
            // Without memory for a log line, the next heartbeat follows without one.
        }
    }

    /** Sends one heartbeat, handles the response, and builds the table of a version that the response requires. */
    private void exchangeHeartbeat() throws InterruptedException {
        MemberHeartbeat heartbeat;
        long sentAt;
        synchronized (this) {
            sentAt = System.nanoTime();
            heartbeat = participant.heartbeat(sentAt);
            publish();
        }
        MemberHeartbeatResponse response;
        try {
            response = sendHeartbeat(heartbeat, sentAt);
        } catch (IOException | RuntimeException e) {
            onNoLeaderResponse(String.valueOf(e.getMessage()));
            return;
        }
        if (response.fromLeader()) {
            outageLog.onLeaderResponse(System.nanoTime());
        }
        synchronized (this) {
            applyEffects(participant.onResponse(sentAt, System.nanoTime(), response));
        }
        if (!response.fromLeader()) {
            onNoLeaderResponse("the last one called is not the leader");
            return;
        }
        Optional<RouteVersion> versionToBuild;
        synchronized (this) {
            versionToBuild = participant
                    .versionToPrepare()
                    .filter(version -> version.number() != rejectedVersion && !tables.contains(version.number()));
        }
        if (versionToBuild.isPresent()) {
            prepare(versionToBuild.get());
        }
    }

    /** Sends a heartbeat with the load report, and passes on the poll slot and fleet view of the response. */
    private MemberHeartbeatResponse sendHeartbeat(MemberHeartbeat heartbeat, long sentAt)
            throws IOException, InterruptedException {
        NodeLoadReport loadReport = zoneLoadExchange.loadReport();
        long ownPollDelayNanos = listPoller.ownPollDelayNanos();
        boolean requestsPollSlot = ownPollDelayNanos >= 0;
        long longPollMillis = loadReport == null ? LONG_POLL_MILLIS : LOCALITY_LONG_POLL_MILLIS;
        MemberResponse response = coordinators.sendHeartbeat(
                heartbeat, requestsPollSlot ? 0 : longPollMillis, loadReport, ownPollDelayNanos);
        if (requestsPollSlot && response.pollSlotDelayNanos() >= 0) {
            listPoller.assignPollTime(System.nanoTime() + response.pollSlotDelayNanos());
        }
        if (response.fleetView() != null) {
            zoneLoadExchange.onFleetView(response.fleetView(), sentAt);
        }
        return response.heartbeat();
    }

    private void onNoLeaderResponse(String failure) {
        coordinators.switchToNext();
        long now = System.nanoTime();
        outageLog.onNoLeaderResponse(failure, now);
        synchronized (this) {
            outageLog.onVersionsWithoutLeader(participant.activeVersions(now), now);
        }
        LockSupport.parkNanos(RETRY_DELAY);
    }

    private void prepare(RouteVersion version) throws InterruptedException {
        synchronized (this) {
            if (!tables.published().canAddTable()) {
                log.accept("fleet: version preparation postponed version=" + version.number() + " liveTables="
                        + VersionedTables.MAX_LIVE_TABLES);
                return;
            }
        }
        BuildResult<T> result;
        try {
            result = versionTableBuilder.build(version);
        } catch (IOException e) {
            // The next heartbeat exchange fetches the bundle again.
            log.accept("fleet: " + e.getMessage());
            return;
        }
        synchronized (this) {
            List<String> errors = List.of();
            if (result instanceof BuildResult.Built<T> built) {
                tables.put(version.number(), built.content());
            } else if (result instanceof BuildResult.Rejected<T> rejected) {
                rejectedVersion = version.number();
                errors = rejected.errors();
            }
            applyEffects(participant.onPrepared(System.nanoTime(), version.number(), errors));
        }
    }

    /** Carries out the effects. The caller must hold the lock of this object. */
    private void applyEffects(List<ActivationParticipant.Effect> effects) {
        for (ActivationParticipant.Effect effect : effects) {
            if (effect instanceof ActivationParticipant.LogEvent logEvent) {
                log.accept("fleet: generation=" + participant.generation() + " " + logEvent.message());
            } else if (effect instanceof ActivationParticipant.RetainTables retain) {
                tables.retain(retain.versionNumbers());
            }
        }
        publish();
    }

    /** Publishes the tables of the active versions. The caller must hold the lock of this object. */
    private void publish() {
        tables.publish(participant.activeVersions(System.nanoTime()));
    }

    /**
     * Ends the member's thread, waiting up to a second for it, then reports to the leading coordinator, if it can be
     * reached, that this member is leaving. Blocks for at most that second and one request to each coordinator.
     */
    @Override
    public void close() {
        closing = true;
        thread.interrupt();
        try {
            thread.join(JOIN_TIMEOUT_MILLIS);
            participant.startLeaving();
            for (int i = 0; i < coordinators.count(); i++) {
                try {
                    if (coordinators
                            .sendHeartbeat(participant.heartbeat(System.nanoTime()), 0, null, -1)
                            .heartbeat()
                            .fromLeader()) {
                        return;
                    }
                } catch (IOException e) {
                    // Try the next coordinator. If none can be reached, the coordinators will report this member as
                    // missing.
                }
                coordinators.switchToNext();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

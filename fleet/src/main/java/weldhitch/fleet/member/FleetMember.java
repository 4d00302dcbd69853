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
 * A running fleet member: owns the thread that exchanges heartbeats with the coordinators, has the tables of
 * versions built and publishes the active ones. Requests enter {@link #tables} from any thread. If no coordinator
 * responds, the active version stays active. The object's lock guards the participant and the built tables.
 *
 * @param <T> the contents of a version's table
 */
public final class FleetMember<T> implements AutoCloseable {
    /** Builds the tables of versions; called on the member's thread. */
    public interface TableBuilder<T> {
        /**
         * Builds a version's table; may block.
         *
         * @param file the name of the bundle in errors
         * @param errors receives the reasons why the table cannot be built, a line each
         * @return the table; may be null if there were errors
         */
        T build(String file, byte[] bundle, Consumer<String> errors);
    }

    /** Supplies zone load reports and receives the fleet's view of zones; called on the member's thread. */
    public interface ZoneLoadExchange {
        /** The report to send now; null if there are no locality rules. */
        NodeLoadReport loadReport();

        /**
         * Handles the coordinators' response to a heartbeat sent at {@code sentAt} of {@link
         * System#nanoTime}.
         */
        void onFleetView(FleetView view, long sentAt);
    }

    /** Polls a discovery service that all nodes share, in assigned slots; called on the member's thread. */
    public interface ListPoller {
        /** If it waits to poll: how long it would still wait by itself, in nanoseconds; else below 0. */
        long ownPollDelayNanos();

        /** Assigns the poll slot, by {@link System#nanoTime}. */
        void assignPollTime(long at);
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long LONG_POLL_MILLIS = 500;
    /**
     * Shorter than {@code LONG_POLL_MILLIS}: with locality rules, quota grants depend on how often reports
     * and views are exchanged.
     */
    private static final long LOCALITY_LONG_POLL_MILLIS = 200;

    private static final long MIN_HEARTBEAT_INTERVAL = 40 * NANOS_PER_MILLI;
    private static final long RETRY_DELAY = 150 * NANOS_PER_MILLI;
    private static final long JOIN_TIMEOUT_MILLIS = 1000;
    /** The range that the hash of the incarnation is reduced to, so that members start at different coordinators. */
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
     * The number of the version that was rejected last: it is not built again for each response that names
     * it. Belongs to the member's thread.
     */
    private long rejectedVersion;

    /**
     * Starts the member's thread, which begins to call the coordinators.
     *
     * @param member the name that identifies this node to the coordinators
     * @param incarnation new with each start of the process
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

    /** The tables that requests enter. */
    public VersionedTables<T> tables() {
        return tables.published();
    }

    /**
     * Replaces the table of version 0; versions that the fleet has committed stay active. Blocks on a lock,
     * so it must not be called on an event loop.
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
            } catch (RuntimeException e) {
                // A failure here must not affect requests: the active version stays active.
                log.accept("fleet: heartbeat failed error=\"" + e + "\"");
                LockSupport.parkNanos(RETRY_DELAY);
            }
            long remaining = MIN_HEARTBEAT_INTERVAL - (System.nanoTime() - startedAt);
            if (remaining > 0) {
                LockSupport.parkNanos(remaining);
            }
        }
    }

    /** One round: sends a heartbeat, handles the response, and builds the table that it makes necessary. */
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
            onNoLeaderResponse("no leader");
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

    /** Sends a heartbeat with what goes with it, and passes on what the response carries beside its own part. */
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
            // Requested again in the next round.
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

    /** Carries out the effects. The caller holds this object's lock. */
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

    /** Publishes the tables of the active versions. The caller holds this object's lock. */
    private void publish() {
        tables.publish(participant.activeVersions(System.nanoTime()));
    }

    /**
     * Ends the member's thread, waiting up to a second for it, then reports to the leading coordinator, if
     * one can be reached, that this member leaves. Blocks for that second and one request to each coordinator
     * at most.
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
                    // Try the next one; if none can be reached, the coordinators will report this member as
                    // absent.
                }
                coordinators.switchToNext();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package weldhitch.fleet.member;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import weldhitch.fleet.activation.ActivationParticipant;
import weldhitch.fleet.activation.ActiveVersions;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.activation.MemberHeartbeatResponse;
import weldhitch.fleet.activation.MemberResponse;
import weldhitch.fleet.activation.RouteVersion;
import weldhitch.fleet.error.FleetError;
import weldhitch.fleet.locality.FleetView;
import weldhitch.fleet.locality.NodeLoadReport;
import weldhitch.fleet.table.VersionedTables;
import weldhitch.fleet.table.VersionedTables.Table;

/**
 * A running fleet member. One thread calls the coordinators, builds the tables of versions and publishes the
 * active ones; requests enter {@link #tables} from any thread. If no coordinator responds, the active version
 * stays active.
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
    private static final long INITIAL_UNREACHABLE_LOG_DELAY = 3000 * NANOS_PER_MILLI;

    private final String memberName;
    private final CoordinatorClient coordinators;
    private final ActivationParticipant participant;
    private final TableBuilder<T> tableBuilder;
    private final Consumer<String> log;
    private final ZoneLoadExchange zoneLoadExchange;
    private final ListPoller listPoller;
    private final VersionedTables<T> tables;
    private final Map<Long, Table<T>> builtTables = new TreeMap<>();
    private final Thread thread;
    private volatile boolean closing;
    private long lastLeaderResponseAt = System.nanoTime();
    private long unreachableLogDelay = INITIAL_UNREACHABLE_LOG_DELAY;
    private boolean rejectionLogged;
    /**
     * The number of the version that was rejected last: it is not built again for each response that names
     * it.
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
        memberName = member;
        this.tableBuilder = tableBuilder;
        this.log = log;
        coordinators = new CoordinatorClient(
                settings.cluster(), settings.coordinators(), Math.floorMod(incarnation.hashCode(), 1 << 20));
        participant = new ActivationParticipant(
                member, incarnation, LeaseTiming.DEFAULT.maxClockDrift(), settings.fenceBeforeJoin());
        Table<T> ownTable = new Table<>(0, ownContent);
        builtTables.put(0L, ownTable);
        tables = new VersionedTables<>(participant.activeVersions(System.nanoTime()), ownTable);
        thread = new Thread(this::run, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    /** The tables that requests enter. */
    public VersionedTables<T> tables() {
        return tables;
    }

    /**
     * Replaces the table of version 0; versions that the fleet has committed stay active. Blocks on a lock,
     * so it must not be called on an event loop.
     */
    public void replaceOwnTable(T newContent) {
        synchronized (this) {
            builtTables.put(0L, new Table<>(0, newContent));
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
                log.accept("fleet: " + e);
                LockSupport.parkNanos(RETRY_DELAY);
            }
            long remaining = MIN_HEARTBEAT_INTERVAL - (System.nanoTime() - startedAt);
            if (remaining > 0) {
                LockSupport.parkNanos(remaining);
            }
        }
    }

    private void exchangeHeartbeat() throws InterruptedException {
        weldhitch.fleet.activation.MemberHeartbeat heartbeat;
        long sentAt;
        synchronized (this) {
            sentAt = System.nanoTime();
            heartbeat = participant.heartbeat(sentAt);
            publish();
        }
        MemberHeartbeatResponse heartbeatResponse;
        try {
            NodeLoadReport loadReport = zoneLoadExchange.loadReport();
            long ownPollDelayNanos = listPoller.ownPollDelayNanos();
            MemberResponse response = coordinators.sendHeartbeat(
                    heartbeat,
                    ownPollDelayNanos >= 0 ? 0 : loadReport == null ? LONG_POLL_MILLIS : LOCALITY_LONG_POLL_MILLIS,
                    loadReport,
                    ownPollDelayNanos);
            heartbeatResponse = response.heartbeat();
            if (ownPollDelayNanos >= 0 && response.pollSlotDelayNanos() >= 0) {
                listPoller.assignPollTime(System.nanoTime() + response.pollSlotDelayNanos());
            }
            if (response.fleetView() != null) {
                zoneLoadExchange.onFleetView(response.fleetView(), sentAt);
            }
        } catch (IOException | RuntimeException e) {
            onNoLeaderResponse(e);
            return;
        }
        if (!heartbeatResponse.fromLeader()) {
            synchronized (this) {
                applyEffects(participant.onResponse(sentAt, System.nanoTime(), heartbeatResponse));
            }
            onNoLeaderResponse(null);
            return;
        }
        lastLeaderResponseAt = System.nanoTime();
        if (unreachableLogDelay != INITIAL_UNREACHABLE_LOG_DELAY) {
            log.accept("fleet: stewards answer again");
            unreachableLogDelay = INITIAL_UNREACHABLE_LOG_DELAY;
        }
        synchronized (this) {
            applyEffects(participant.onResponse(sentAt, System.nanoTime(), heartbeatResponse));
        }
        RouteVersion targetVersion = participant.versionToPrepare();
        if (targetVersion != null
                && targetVersion.number() != rejectedVersion
                && !builtTables.containsKey(targetVersion.number())) {
            prepare(targetVersion);
        }
    }

    private void onNoLeaderResponse(Exception cause) {
        coordinators.switchToNext();
        long now = System.nanoTime();
        if (now - lastLeaderResponseAt > unreachableLogDelay) {
            unreachableLogDelay = 2 * (now - lastLeaderResponseAt);
            log.accept("fleet: "
                    + new FleetError.CoordinatorUnreachable(
                                    memberName,
                                    List.of(cause == null ? "none leads" : String.valueOf(cause.getMessage())))
                            .message());
        }
        synchronized (this) {
            ActiveVersions activeVersions = participant.activeVersions(now);
            boolean rejecting = activeVersions.isInDoubtAt(now) || activeVersions.isFencedAt(now);
            if (rejecting && !rejectionLogged) {
                log.accept("fleet: "
                        + (activeVersions.isFencedAt(now)
                                        ? new FleetError.NotJoined(memberName)
                                        : new FleetError.InDoubt(activeVersions.next(), memberName))
                                .message());
            }
            rejectionLogged = rejecting;
        }
        LockSupport.parkNanos(RETRY_DELAY);
    }

    private void prepare(RouteVersion version) throws InterruptedException {
        synchronized (this) {
            if (!tables.canAddTable()) {
                log.accept("fleet: version " + version.number() + " waits: requests still read "
                        + VersionedTables.MAX_LIVE_TABLES + " tables");
                return;
            }
        }
        String file = "version-" + version.number() + ".toml";
        List<String> errors = new ArrayList<>();
        T content = null;
        try {
            byte[] bundle = coordinators.fetchBundle(version.number());
            if (!BundleDigest.sha256(bundle).equals(version.sha256())) {
                throw new IOException("what " + coordinators.currentAddress() + " gave for version " + version.number()
                        + " is not what was decided");
            }
            content = tableBuilder.build(file, bundle, errors::add);
        } catch (IOException e) {
            // Requested again in the next round.
            log.accept("fleet: " + e.getMessage());
            return;
        } catch (RuntimeException e) {
            errors.add(file + ": " + e);
        }
        synchronized (this) {
            if (content != null && errors.isEmpty()) {
                builtTables.put(version.number(), new Table<>(version.number(), content));
            } else {
                rejectedVersion = version.number();
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
                builtTables
                        .keySet()
                        .removeIf(versionNumber ->
                                versionNumber != 0 && !retain.versionNumbers().contains(versionNumber));
            }
        }
        publish();
    }

    private void publish() {
        ActiveVersions activeVersions = participant.activeVersions(System.nanoTime());
        Table<T> current = builtTables.get(activeVersions.current());
        Table<T> next = activeVersions.next() == null ? null : builtTables.get(activeVersions.next());
        tables.publish(activeVersions, current, next);
    }

    /**
     * Ends the member's thread, waiting up to a second for it, then reports to the leading coordinator, if
     * one can be reached, that this member leaves. Blocks.
     */
    @Override
    public void close() {
        closing = true;
        thread.interrupt();
        try {
            thread.join(1000);
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

package weldhitch.capture.format;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.capture.policy.DroppedEvents;
import weldhitch.decision.action.BalancerAction;
import weldhitch.decision.action.CancelAttempt;
import weldhitch.decision.action.FailRequest;
import weldhitch.decision.action.LogMessage;
import weldhitch.decision.action.RejectRequest;
import weldhitch.decision.action.ScheduleTimer;
import weldhitch.decision.action.SendAttempt;
import weldhitch.decision.action.SubscribeToEndpoints;
import weldhitch.decision.balancing.RatioBalancer;
import weldhitch.decision.balancing.Workload;
import weldhitch.decision.endpoint.AttemptOutcome;
import weldhitch.decision.endpoint.EndpointEntry;
import weldhitch.decision.endpoint.EndpointState;
import weldhitch.decision.event.AttemptEnded;
import weldhitch.decision.event.BalancerEvent;
import weldhitch.decision.event.ClientDisconnected;
import weldhitch.decision.event.EndpointUpdateKind;
import weldhitch.decision.event.EndpointsChanged;
import weldhitch.decision.event.HealthCheckCompleted;
import weldhitch.decision.event.RequestArrived;
import weldhitch.decision.event.ResponseStarted;
import weldhitch.decision.event.RoutesChanged;
import weldhitch.decision.event.TimerFired;
import weldhitch.decision.routing.RoutePattern;
import weldhitch.decision.routing.RoutePolicy;
import weldhitch.decision.routing.RoutePolicy.Backoff;
import weldhitch.decision.routing.RoutePolicy.HedgeAtPercentile;
import weldhitch.decision.routing.RoutePolicy.RetryAfterBounds;
import weldhitch.decision.routing.RoutePolicy.RetryBudgetSettings;
import weldhitch.decision.routing.RouteTable;

/** Tests of the file format: round trips, corruption and truncation, foreign files, and arbitrary bytes. */
class SegmentFormatTest {
    private static final int BLOCKS = 5;
    private static final int EVENTS = 12;

    @TempDir
    Path directory;

    private Path file;
    private final Workload workload = new Workload(3);

    @BeforeEach
    void createSegmentName() {
        file = CaptureFiles.firstSegment(directory, 1_764_000_000_000L).path();
    }

    private static CaptureEntry.SnapshotRecord snapshotRecord(
            Workload workload, RatioBalancer balancer, DroppedEvents dropped) {
        return new CaptureEntry.SnapshotRecord(
                workload.now(), "n", "run", "build", workload.settings, balancer.snapshot(), dropped);
    }

    /** Returns an entry as text, including the parts that have no useful {@code toString()}. */
    private static String describe(CaptureEntry entry) {
        if (entry instanceof CaptureEntry.EventRecord eventRecord) {
            BalancerEvent event = eventRecord.event();
            String text = event instanceof AttemptEnded e && e.loadReport() != null
                    ? e.requestId()
                            + e.attempt()
                            + e.endpointId()
                            + e.outcome()
                            + e.latency()
                            + e.requestFinished()
                            + Arrays.toString(e.loadReport())
                    : event instanceof HealthCheckCompleted e
                            ? e.endpointId() + e.outcome() + e.latency() + Arrays.toString(e.loadReport())
                            : event instanceof RoutesChanged e
                                    ? e.routes() == null ? "none" : describeRoutes(e.routes())
                                    : event instanceof RequestArrived e && e.target() != null
                                            ? e.toString().replaceAll("\\?[^,\\]]*", "")
                                            : event.toString();
            return eventRecord.timestamp() + " " + text + " " + eventRecord.actions();
        }
        return entry instanceof CaptureEntry.SnapshotRecord snapshotRecord
                ? snapshotRecord.timestamp()
                        + snapshotRecord.node()
                        + snapshotRecord.runId()
                        + snapshotRecord.build()
                        + snapshotRecord.settings()
                        + snapshotRecord.dropped()
                        + DocumentCodec.toTree(snapshotRecord.snapshot())
                : entry.toString();
    }

    /** Returns routes as text, with sets and maps sorted. */
    private static String describeRoutes(RouteTable routes) {
        return routes.routes().stream()
                .map(r -> r.name()
                        + r.precedence()
                        + r.pattern()
                        + r.policy().deadline()
                        + r.policy().attemptTimeout()
                        + r.policy().maxAttempts()
                        + r.policy().backoff()
                        + new java.util.TreeSet<>(r.policy().retryOn())
                        + r.policy().retryBudget()
                        + r.policy().hedging()
                        + r.policy().retryAfter()
                        + new java.util.TreeMap<>(r.policy().tenantQuotas()))
                .toList()
                .toString();
    }

    private static void assertEntriesEqual(List<String> expected, List<String> found) {
        for (int i = 0; i < Math.min(expected.size(), found.size()); i++) {
            assertEquals(expected.get(i), found.get(i), "entry " + i);
        }
        assertEquals(expected.size(), found.size());
    }

    private static List<String> readEntries(Path file) throws IOException {
        List<String> found = new ArrayList<>();
        SegmentReader.read(
                file,
                e -> found.add(
                        e instanceof CaptureEntry.Corruption d
                                ? "corrupt " + d.blockNumber() + " " + d.description()
                                : describe(e)));
        return found;
    }

    /** Writes several small blocks, all or only the first with a snapshot. Returns the entries of each as text. */
    private List<List<String>> writeBlocks(boolean snapshotInEach) throws IOException {
        RatioBalancer balancer = new RatioBalancer(workload.settings, 5);
        List<List<String>> blocks = new ArrayList<>();
        try (SegmentWriter writer = new SegmentWriter(file)) {
            for (int block = 0; block < BLOCKS; block++) {
                List<String> entries = new ArrayList<>();
                if (block == 0 || snapshotInEach) {
                    CaptureEntry.SnapshotRecord snapshotRecord = snapshotRecord(workload, balancer, null);
                    assertTrue(writer.add(snapshotRecord));
                    entries.add(describe(snapshotRecord));
                }
                workload.play(balancer::handle, EVENTS, (event, actions) -> {
                    CaptureEntry.EventRecord eventRecord = new CaptureEntry.EventRecord(workload.now(), event, actions);
                    assertTrue(writer.add(eventRecord));
                    entries.add(describe(eventRecord));
                });
                writer.flush();
                blocks.add(entries);
            }
        }
        return blocks;
    }

    private static List<String> entriesOfBlocks(List<List<String>> blocks, int from, int to) {
        return blocks.subList(from, to).stream().flatMap(List::stream).toList();
    }

    @Property(tries = 60, seed = "20261201")
    void allEntriesRoundTripInOrder(@ForAll @IntRange(min = 0, max = 100_000) int seed) throws IOException {
        Workload randomWorkload = new Workload(seed, seed % 5 == 1);
        RatioBalancer balancer = new RatioBalancer(randomWorkload.settings, seed);
        RecordEncoder encoder = new RecordEncoder();
        List<String> expected = new ArrayList<>();
        List<String> found = new ArrayList<>();
        RecordDecoder decoder = new RecordDecoder();
        for (int block = 0; block < 4; block++) {
            long baseTime = encoder.lastTimestamp();
            List<CaptureEntry> entries = new ArrayList<>();
            if (block % 2 == 0) {
                entries.add(snapshotRecord(randomWorkload, balancer, block == 0 ? null : new DroppedEvents(1, 2, 3)));
            }
            randomWorkload.play(
                    balancer::handle,
                    150,
                    (event, actions) ->
                            entries.add(new CaptureEntry.EventRecord(randomWorkload.now(), event, actions)));
            entries.forEach(e -> {
                encoder.encode(e);
                expected.add(describe(e));
            });
            decoder.decode(encoder.content(), baseTime, e -> found.add(describe(e)));
            encoder.clear();
        }
        assertEntriesEqual(expected, found);
    }

    @Test
    void extremeValuesRoundTrip() throws IOException {
        List<CaptureEntry> entries = new ArrayList<>();
        RatioBalancer balancer = new RatioBalancer(workload.settings, 5);
        entries.add(
                snapshotRecord(workload, balancer, new DroppedEvents(Long.MIN_VALUE, Long.MAX_VALUE, Long.MAX_VALUE)));
        long now = workload.now();
        for (String id : List.of(
                "0000000000000000",
                "ffffffffffffffff",
                "FFFFFFFFFFFFFFFF",
                "7fffffffffffffff",
                "",
                "mu\u0301rakoze \u2603\uD83D\uDC04",
                "x".repeat(300),
                "00000000000000g0",
                "\u0000")) {
            entries.add(new CaptureEntry.EventRecord(
                    now,
                    new RequestArrived(id, "\u00e9", Long.MAX_VALUE, null, Double.MIN_VALUE, true, null, null),
                    List.of(
                            new SendAttempt(id, "s\u00e9", Long.MIN_VALUE),
                            new RejectRequest(id, Long.MAX_VALUE),
                            new FailRequest(id, true),
                            new CancelAttempt(id, Integer.MAX_VALUE),
                            new ScheduleTimer(-1, null),
                            new SubscribeToEndpoints(),
                            new LogMessage("caf\u00e9"))));
            entries.add(new CaptureEntry.EventRecord(
                    Long.MAX_VALUE,
                    new AttemptEnded(
                            id, Integer.MIN_VALUE, null, AttemptOutcome.NOT_SENT, Long.MIN_VALUE, true, new double[] {
                                Double.NaN, -0.0, Double.POSITIVE_INFINITY
                            }),
                    List.of()));
            entries.add(new CaptureEntry.EventRecord(
                    Long.MIN_VALUE, new ResponseStarted(id, -1, "s", 0), List.of(new SubscribeToEndpoints())));
            // The clock jumps back, and then far ahead.
            entries.add(new CaptureEntry.EventRecord(now - 1, new ClientDisconnected(id), List.of()));
            entries.add(new CaptureEntry.EventRecord(now + 4_000_000_001L, new TimerFired(""), List.of()));
        }
        entries.add(new CaptureEntry.EventRecord(
                now,
                new RequestArrived("a", "c", Long.MIN_VALUE, "t", -1, false, "GET", "/" + "p/".repeat(30_000)),
                List.of()));
        entries.add(new CaptureEntry.EventRecord(
                now, new HealthCheckCompleted("s", AttemptOutcome.OK, 3, null), List.of()));
        entries.add(new CaptureEntry.EventRecord(
                now,
                new EndpointsChanged(
                        EndpointUpdateKind.FULL,
                        java.util.stream.IntStream.range(0, 10_000)
                                .mapToObj(i -> new EndpointEntry(
                                        "server-" + i,
                                        i % 2 == 0 ? null : "z",
                                        Long.MIN_VALUE,
                                        EndpointState.DRAINING,
                                        1e-300,
                                        -1))
                                .toList()),
                java.util.stream.IntStream.range(0, 3000)
                        .<BalancerAction>mapToObj(i -> new FailRequest("r" + i))
                        .toList()));
        RoutePolicy policy = new RoutePolicy(
                1,
                2,
                3,
                new Backoff(1, 2),
                Set.of(AttemptOutcome.FULL),
                new RetryBudgetSettings(0.5, 2),
                new HedgeAtPercentile(95),
                new RetryAfterBounds(1, 2),
                Map.of("a", 1.0));
        entries.add(new CaptureEntry.EventRecord(
                now,
                new RoutesChanged(new RouteTable(List.of(
                        new RouteTable.Route(
                                "r", 2, new RoutePattern("c", "GET", Arrays.asList("a", null), false), policy),
                        new RouteTable.Route("s", 1, RoutePattern.ALL, RoutePolicy.NONE)))),
                List.of()));
        entries.add(new CaptureEntry.EventRecord(now, new RoutesChanged(null), List.of()));
        try (SegmentWriter writer = new SegmentWriter(file)) {
            entries.forEach(e -> assertTrue(writer.add(e)));
            writer.flush();
        }
        assertEntriesEqual(entries.stream().map(SegmentFormatTest::describe).toList(), readEntries(file));
    }

    @Test
    void truncationWithinLastBlockKeepsAllEarlierEntries() throws IOException {
        List<List<String>> blocks = writeBlocks(false);
        byte[] completeFile = Files.readAllBytes(file);
        List<String> earlierEntries = entriesOfBlocks(blocks, 0, BLOCKS - 1);
        int lastBlockOffset = blockOffsets(completeFile).get(BLOCKS - 1);
        Files.write(file, Arrays.copyOf(completeFile, lastBlockOffset));
        assertEquals(earlierEntries, readEntries(file));
        for (int length = lastBlockOffset + 1; length < completeFile.length; length++) {
            Files.write(file, Arrays.copyOf(completeFile, length));
            List<String> found = readEntries(file);
            assertEquals(earlierEntries, found.subList(0, found.size() - 1), "cut at " + length);
            assertTrue(
                    found.get(found.size() - 1).startsWith("corrupt " + (BLOCKS - 1) + " truncated: "),
                    found.get(found.size() - 1));
        }
    }

    private static List<Integer> blockOffsets(byte[] file) {
        List<Integer> offsets = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.wrap(file).order(ByteOrder.LITTLE_ENDIAN);
        for (int offset = BlockFormat.FILE_HEADER_BYTES; offset < file.length; ) {
            offsets.add(offset);
            offset += BlockFormat.BLOCK_HEADER_BYTES
                    + BlockFormat.readHeader(bytes.position(offset)).storedBytes();
        }
        return offsets;
    }

    /**
     * Flips a bit in every byte of a middle block. The block is reported as corrupt. All others are read, because the
     * next one starts with a snapshot.
     */
    @Test
    void flippedBitLosesOnlyItsBlock() throws IOException {
        List<List<String>> blocks = writeBlocks(true);
        byte[] completeFile = Files.readAllBytes(file);
        List<Integer> offsets = blockOffsets(completeFile);
        for (int offset = offsets.get(2); offset < offsets.get(3); offset++) {
            byte[] flipped = completeFile.clone();
            flipped[offset] ^= (byte) (1 << offset % 8);
            Files.write(file, flipped);
            List<String> found = readEntries(file);
            List<String> expected = new ArrayList<>(entriesOfBlocks(blocks, 0, 2));
            assertEquals(expected, found.subList(0, expected.size()), "flipped at " + offset);
            assertTrue(found.get(expected.size()).startsWith("corrupt 2 "), found.get(expected.size()));
            assertEquals(
                    entriesOfBlocks(blocks, 3, BLOCKS),
                    found.subList(
                            found.size() - entriesOfBlocks(blocks, 3, BLOCKS).size(), found.size()));
            assertTrue(
                    found.size()
                            <= expected.size()
                                    + entriesOfBlocks(blocks, 3, BLOCKS).size()
                                    + 2,
                    found.toString());
        }
    }

    @Test
    void nothingIsReadAfterCorruptionWithoutLaterSnapshot() throws IOException {
        List<List<String>> blocks = writeBlocks(false);
        byte[] bytes = Files.readAllBytes(file);
        bytes[blockOffsets(bytes).get(1) + BlockFormat.BLOCK_HEADER_BYTES] ^= 1;
        Files.write(file, bytes);
        List<String> found = readEntries(file);
        assertEquals(blocks.get(0), found.subList(0, found.size() - 1));
        assertTrue(found.get(found.size() - 1).startsWith("corrupt 1 checksum does not match"));
    }

    @Test
    void unknownFormatVersionAndForeignFilesAreRejected() throws IOException {
        writeBlocks(false);
        byte[] bytes = Files.readAllBytes(file);
        ByteBuffer header = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        header.putInt(8, 7);
        header.putInt(12, BlockFormat.checksum(header.duplicate().position(0).limit(12)));
        Files.write(file, bytes);
        assertTrue(assertThrows(CaptureFormatException.class, () -> readEntries(file))
                .getMessage()
                .contains("has format version 7, expected 1"));
        Files.writeString(file, "version = 1\n# end\n");
        assertTrue(assertThrows(CaptureFormatException.class, () -> readEntries(file))
                .getMessage()
                .contains("is not a capture"));
        Files.write(file, new byte[3]);
        assertThrows(CaptureFormatException.class, () -> readEntries(file));
    }

    @Test
    void unknownRecordTemplatesAreSkipped() throws IOException {
        RecordEncoder encoder = new RecordEncoder();
        CaptureEntry.SnapshotRecord snapshotRecord =
                snapshotRecord(workload, new RatioBalancer(workload.settings, 5), null);
        CaptureEntry.EventRecord eventRecord =
                new CaptureEntry.EventRecord(workload.now(), new ClientDisconnected("x"), List.of());
        encoder.encode(snapshotRecord);
        int insertionPoint = encoder.length();
        encoder.encode(eventRecord);
        ByteBuffer content = encoder.content();
        ByteBuffer extended = ByteBuffer.allocate(content.remaining() + 9).order(ByteOrder.LITTLE_ENDIAN);
        extended.put(content.duplicate().limit(insertionPoint))
                .putShort((short) 7)
                .put((byte) 5)
                .put((byte) 99)
                .put(new byte[5]);
        extended.put(content.duplicate().position(insertionPoint)).flip();
        List<String> found = new ArrayList<>();
        new RecordDecoder().decode(extended, 0, e -> found.add(describe(e)));
        assertEquals(List.of(describe(snapshotRecord), describe(eventRecord)), found);
    }

    @Test
    void documentWithInvalidOrMissingFieldIsRejectedByFieldName() throws Exception {
        RatioBalancer balancer = new RatioBalancer(workload.settings, 5);
        byte[] content = DocumentCodec.encodeSnapshot(snapshotRecord(workload, balancer, null));
        com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper mapper =
                new com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper();
        com.fasterxml.jackson.databind.node.ObjectNode tree =
                (com.fasterxml.jackson.databind.node.ObjectNode) mapper.readTree(content);
        ((com.fasterxml.jackson.databind.node.ObjectNode) tree.at("/snapshot/admission")).put("limit", -1.0);
        tree.put("laterField", "is ignored");
        CaptureFormatException invalid = assertThrows(
                CaptureFormatException.class, () -> DocumentCodec.decodeSnapshot(0, mapper.writeValueAsBytes(tree)));
        assertTrue(invalid.getMessage().contains("admission.limit: -1.0, expected 1 or more"), invalid.getMessage());
        ((com.fasterxml.jackson.databind.node.ObjectNode) tree.at("/snapshot/admission"))
                .put("limit", 8.0)
                .remove("slow");
        CaptureFormatException missing = assertThrows(
                CaptureFormatException.class, () -> DocumentCodec.decodeSnapshot(0, mapper.writeValueAsBytes(tree)));
        assertTrue(missing.getMessage().contains("slow"), missing.getMessage());
    }

    @Test
    void unencodableEntryIsNotPartiallyWritten() throws IOException {
        try (SegmentWriter writer = new SegmentWriter(file)) {
            CaptureEntry.SnapshotRecord snapshotRecord =
                    snapshotRecord(workload, new RatioBalancer(workload.settings, 5), null);
            writer.add(snapshotRecord);
            CaptureEntry.EventRecord encodable =
                    new CaptureEntry.EventRecord(workload.now(), new ClientDisconnected("x"), List.of());
            writer.add(encodable);
            assertFalse(writer.add(new CaptureEntry.EventRecord(
                    workload.now() + 1,
                    new RequestArrived("a", "c", 0, null, 0, false, "GET", "/" + "x".repeat(70_000)),
                    List.of())));
            writer.flush();
            assertEquals(List.of(describe(snapshotRecord), describe(encodable)), readEntries(file));
        }
    }

    /**
     * Arbitrary bytes as a block's records yield entries or a {@link CaptureFormatException}, never another
     * exception. The decoder does not allocate memory according to the lengths that they claim.
     */
    @Property(tries = 3000, seed = "20261201")
    void arbitraryBytesDecodeOrFailWithFormatException(@ForAll @Size(max = 400) byte[] bytes) {
        decodeOrFailCleanly(bytes);
    }

    /**
     * Valid records with some bytes changed decode, or fail with a {@link CaptureFormatException}. They reach deeper
     * into the decoder than arbitrary bytes do.
     */
    @Property(tries = 1500, seed = "20261201")
    void mutatedRecordsDecodeOrFailWithFormatException(
            @ForAll @IntRange(max = 20) int seed,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 9_999) Integer> positions,
            @ForAll byte replacement) {
        Workload randomWorkload = new Workload(seed, seed % 5 == 1);
        RatioBalancer balancer = new RatioBalancer(randomWorkload.settings, seed);
        RecordEncoder encoder = new RecordEncoder();
        encoder.encode(snapshotRecord(randomWorkload, balancer, null));
        int start = encoder.length();
        randomWorkload.play(
                balancer::handle,
                60,
                (event, actions) -> encoder.encode(new CaptureEntry.EventRecord(randomWorkload.now(), event, actions)));
        byte[] bytes = new byte[encoder.length()];
        encoder.content().get(bytes);
        for (int position : positions) {
            bytes[start + position % (bytes.length - start)] = replacement;
        }
        decodeOrFailCleanly(bytes);
    }

    private static void decodeOrFailCleanly(byte[] bytes) {
        try {
            new RecordDecoder().decode(ByteBuffer.wrap(bytes), 0, e -> {});
        } catch (CaptureFormatException e) {
            assertFalse(e.getMessage().isEmpty());
        }
    }

    /**
     * A header that claims more content than its compressed bytes can contain is invalid, so that no memory is
     * allocated for the content.
     */
    @Test
    void headerWithImplausibleLengthsIsInvalid() {
        assertTrue(new BlockFormat.Header(100, 100, 0, 0, 0, 0).isPlausible());
        assertFalse(new BlockFormat.Header(100, 1 << 20, 0, 0, 0, 0).isPlausible());
        assertFalse(new BlockFormat.Header(1 << 30, Integer.MAX_VALUE, 0, 0, 0, 0).isPlausible());
        assertFalse(new BlockFormat.Header(-1, 100, 0, 0, 0, 0).isPlausible());
    }
}

package weldhitch.coordinator.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import weldhitch.consensus.Message;
import weldhitch.consensus.Reply;
import weldhitch.coordinator.core.MissingMemberPolicy;
import weldhitch.coordinator.core.PeerMessage;
import weldhitch.fleet.activation.LeaseTiming;
import weldhitch.fleet.activation.MemberRequest;
import weldhitch.fleet.activation.MemberResponse;
import weldhitch.testkit.TestConnection;
import weldhitch.testkit.TestSupport;

/**
 * Tests compatibility with HTTP bodies that version 32a2790 sent to members and peers, because a fleet in which half of
 * the processes run that version has to work. Each body is read, written back in the same form, and answered. The files
 * must never be recorded again.
 */
class RecordedMessagesTest {
    private static final Path RECORDED = Path.of("coordinator/src/test/resources/weldhitch/recorded");
    private static final LeaseTiming TIMING =
            new LeaseTiming(200_000_000L, 300_000_000L, 50_000_000L, 1_000_000_000L, 0.002);

    @TempDir
    Path directory;

    private static List<Path> files(String prefix) throws IOException {
        try (Stream<Path> files = Files.list(RECORDED)) {
            return files.filter(f -> f.getFileName().toString().startsWith(prefix)
                            && f.toString().endsWith(".json"))
                    .sorted()
                    .toList();
        }
    }

    static List<Path> peerMessages() throws IOException {
        return files("peer-");
    }

    static List<Path> memberRequests() throws IOException {
        return files("member-request-");
    }

    static List<Path> memberReplies() throws IOException {
        return files("member-reply-");
    }

    private static <T> T readAndWriteBack(Path file, Class<T> type) throws IOException {
        String recorded = Files.readString(file);
        T read = CoordinatorJson.JSON.readValue(recorded, type);
        assertEquals(
                CoordinatorJson.JSON.readTree(recorded),
                CoordinatorJson.JSON.readTree(CoordinatorJson.JSON.writeValueAsBytes(read)),
                file.toString());
        return read;
    }

    @ParameterizedTest
    @MethodSource("peerMessages")
    void peerMessagesKeepTheirForm(Path file) throws IOException {
        readAndWriteBack(file, CoordinatorJson.PeerEnvelope.class);
    }

    @ParameterizedTest
    @MethodSource("memberRequests")
    void memberRequestsKeepTheirForm(Path file) throws IOException {
        readAndWriteBack(file, MemberRequest.class);
    }

    @ParameterizedTest
    @MethodSource("memberReplies")
    void memberRepliesKeepTheirForm(Path file) throws IOException {
        readAndWriteBack(file, MemberResponse.class);
    }

    @Test
    void oneOfEachKindOfPeerMessageIsRecorded() throws IOException {
        Set<Class<?>> recorded = peerMessages().stream()
                .flatMap(file -> {
                    try {
                        PeerMessage message = readAndWriteBack(file, CoordinatorJson.PeerEnvelope.class)
                                .message();
                        return message instanceof PeerMessage.ConsensusRequest consensusRequest
                                ? Stream.of(
                                        message.getClass(),
                                        consensusRequest.message().getClass())
                                : message instanceof PeerMessage.ConsensusReply consensusReply
                                        ? Stream.of(
                                                message.getClass(),
                                                consensusReply.reply().getClass())
                                        : Stream.of(message.getClass());
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                })
                .collect(Collectors.toSet());
        Set<Class<?>> all = Stream.of(PeerMessage.class, Message.class, Reply.class)
                .flatMap(kind -> Stream.of(kind.getPermittedSubclasses()))
                .collect(Collectors.toSet());
        assertEquals(all, recorded);
    }

    @Test
    void aProcessAnswersTheMessagesOfTheEarlierVersion() throws Exception {
        InetSocketAddress ephemeralAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Map<String, InetSocketAddress> coordinators = Map.of(
                "s1",
                ephemeralAddress,
                "s2",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                "s3",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        try (CoordinatorServer coordinator = CoordinatorServer.start(
                new CoordinatorSettings(
                        "s1", "kigali", ephemeralAddress, coordinators, directory, MissingMemberPolicy.ABORT, TIMING),
                line -> {})) {
            for (Path file : peerMessages()) {
                String body = Files.readString(file).replace("\"from\":\"s1\"", "\"from\":\"s3\"");
                assertEquals(204, post(coordinator, "/v1/peer", body).status(), file.toString());
            }
        }
    }

    @Test
    void aLeaderAnswersMembersOfTheEarlierVersionInTheFormThatTheyRead() throws Exception {
        InetSocketAddress ephemeralAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        JsonNode recorded = CoordinatorJson.JSON.readTree(
                RECORDED.resolve("member-reply-joined.json").toFile());
        try (CoordinatorServer coordinator = CoordinatorServer.start(
                new CoordinatorSettings(
                        "s1",
                        "kigali",
                        ephemeralAddress,
                        Map.of("s1", ephemeralAddress),
                        directory,
                        MissingMemberPolicy.ABORT,
                        TIMING),
                line -> {})) {
            JsonNode[] reply = new JsonNode[1];
            TestSupport.await(() -> {
                try {
                    reply[0] = CoordinatorJson.JSON.readTree(post(
                                    coordinator,
                                    "/v1/member",
                                    Files.readString(RECORDED.resolve("member-request-polls.json"))
                                            .replace("\"waitMillis\":400", "\"waitMillis\":0"))
                            .bodyText());
                    return reply[0].path("answer").path("joined").asBoolean();
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            assertEquals(names(recorded), names(reply[0]));
            assertEquals(names(recorded.path("answer")), names(reply[0].path("answer")));
            assertEquals(names(recorded.path("zones")), names(reply[0].path("zones")));
            for (Path file : memberRequests()) {
                assertEquals(
                        200,
                        post(
                                        coordinator,
                                        "/v1/member",
                                        Files.readString(file).replace("\"waitMillis\":400", "\"waitMillis\":0"))
                                .status(),
                        file.toString());
            }
        }
    }

    private static Set<String> names(JsonNode object) {
        assertTrue(object.isObject(), object.toString());
        Set<String> names = new TreeSet<>();
        object.fieldNames().forEachRemaining(names::add);
        return names;
    }

    private static weldhitch.testkit.RawHttpMessage post(CoordinatorServer coordinator, String path, String body)
            throws IOException {
        try (TestConnection connection = new TestConnection(new Socket(
                InetAddress.getLoopbackAddress(), coordinator.address().getPort()))) {
            connection.write(
                    "POST " + path + " HTTP/1.1\r\nHost: s\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return connection.readMessage();
        }
    }
}

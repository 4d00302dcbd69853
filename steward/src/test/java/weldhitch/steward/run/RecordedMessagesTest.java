package weldhitch.steward.run;

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
import weldhitch.control.order.Message;
import weldhitch.control.order.Reply;
import weldhitch.fleet.activation.MemberReply;
import weldhitch.fleet.activation.MemberRequest;
import weldhitch.fleet.activation.Timing;
import weldhitch.steward.core.Peer;
import weldhitch.steward.core.StewardCore.Absent;
import weldhitch.testkit.Tests;
import weldhitch.testkit.Wire;

/**
 * HTTP bodies as an earlier version (32a2790) sent them to members and peers: a fleet of which half runs that
 * version has to work. Each is read, written back in the same form, and answered. The files are never recorded
 * again.
 */
class RecordedMessagesTest {
    private static final Path RECORDED = Path.of("steward/src/test/resources/weldhitch/recorded");
    private static final Timing TIMES = new Timing(200_000_000L, 300_000_000L, 50_000_000L, 1_000_000_000L, 0.002);

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
        T read = StewardJson.JSON.readValue(recorded, type);
        assertEquals(
                StewardJson.JSON.readTree(recorded),
                StewardJson.JSON.readTree(StewardJson.JSON.writeValueAsBytes(read)),
                file.toString());
        return read;
    }

    @ParameterizedTest
    @MethodSource("peerMessages")
    void peerMessagesKeepTheirForm(Path file) throws IOException {
        readAndWriteBack(file, StewardJson.Said.class);
    }

    @ParameterizedTest
    @MethodSource("memberRequests")
    void memberRequestsKeepTheirForm(Path file) throws IOException {
        readAndWriteBack(file, MemberRequest.class);
    }

    @ParameterizedTest
    @MethodSource("memberReplies")
    void memberRepliesKeepTheirForm(Path file) throws IOException {
        readAndWriteBack(file, MemberReply.class);
    }

    @Test
    void oneOfEachKindOfPeerMessageIsRecorded() throws IOException {
        Set<Class<?>> recorded = peerMessages().stream()
                .flatMap(file -> {
                    try {
                        Peer message =
                                readAndWriteBack(file, StewardJson.Said.class).message();
                        return message instanceof Peer.Ballots ballots
                                ? Stream.of(
                                        message.getClass(), ballots.message().getClass())
                                : message instanceof Peer.Counted counted
                                        ? Stream.of(
                                                message.getClass(),
                                                counted.reply().getClass())
                                        : Stream.of(message.getClass());
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                })
                .collect(Collectors.toSet());
        Set<Class<?>> all = Stream.of(Peer.class, Message.class, Reply.class)
                .flatMap(kind -> Stream.of(kind.getPermittedSubclasses()))
                .collect(Collectors.toSet());
        assertEquals(all, recorded);
    }

    @Test
    void aProcessAnswersTheMessagesOfTheEarlierVersion() throws Exception {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Map<String, InetSocketAddress> three = Map.of(
                "s1",
                any,
                "s2",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                "s3",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        try (Steward steward = Steward.start(
                new StewardSettings("s1", "kigali", any, three, directory, Absent.ABORT, TIMES), line -> {})) {
            for (Path file : peerMessages()) {
                String body = Files.readString(file).replace("\"from\":\"s1\"", "\"from\":\"s3\"");
                assertEquals(204, post(steward, "/v1/peer", body).status(), file.toString());
            }
        }
    }

    @Test
    void aLeaderAnswersMembersOfTheEarlierVersionInTheFormThatTheyRead() throws Exception {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        JsonNode recorded = StewardJson.JSON.readTree(
                RECORDED.resolve("member-reply-joined.json").toFile());
        try (Steward steward = Steward.start(
                new StewardSettings("s1", "kigali", any, Map.of("s1", any), directory, Absent.ABORT, TIMES),
                line -> {})) {
            JsonNode[] reply = new JsonNode[1];
            Tests.await(() -> {
                try {
                    reply[0] = StewardJson.JSON.readTree(post(
                                    steward,
                                    "/v1/member",
                                    Files.readString(RECORDED.resolve("member-request-polls.json"))
                                            .replace("\"waitMillis\":400", "\"waitMillis\":0"))
                            .text());
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
                                        steward,
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

    private static weldhitch.testkit.Message post(Steward steward, String path, String body) throws IOException {
        try (Wire wire = new Wire(
                new Socket(InetAddress.getLoopbackAddress(), steward.address().getPort()))) {
            wire.write("POST " + path + " HTTP/1.1\r\nHost: s\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return wire.message();
        }
    }
}

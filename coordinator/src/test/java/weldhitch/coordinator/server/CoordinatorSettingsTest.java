package weldhitch.coordinator.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.fleet.error.FleetError.InvalidSetting;

/** Tests that invalid files are rejected with file, line, key and expected value, and all errors at once. */
class CoordinatorSettingsTest {
    private static final String VALID = "version = 1\nname = \"s1\"\ncluster = \"kigali\"\nlisten = \"127.0.0.1:0\"\n"
            + "directory = \"/tmp/s1\"\n[stewards]\ns1 = \"127.0.0.1:7101\"\n"
            + "s2 = \"127.0.0.1:7102\"\ns3 = \"127.0.0.1:7103\"\n";

    @TempDir
    Path directory;

    private CoordinatorSettings.ReadResult read(String text) throws Exception {
        Path file = directory.resolve("steward.toml");
        Files.writeString(file, text);
        return CoordinatorSettings.read(file);
    }

    @Test
    void validFileIsAccepted() throws Exception {
        CoordinatorSettings settings =
                read(VALID + "[timing]\nlease = \"1500ms\"\ndrift = 0.01\n").settings();
        assertNotNull(settings);
        assertEquals(3, settings.coordinators().size());
        assertEquals(1_500_000_000L, settings.timing().memberLease());
        assertEquals(2_000_000_000L, settings.timing().leaderLease());
    }

    @Test
    void eachInvalidFileReportsLineKeyAndExpectedValue() throws Exception {
        Map<String, String> invalidFiles = Map.ofEntries(
                Map.entry(VALID.replace("version = 1", "version = 2"), "1 version expected|write version = 1"),
                Map.entry(VALID.replace("name = \"s1\"", "name = \"s 1\""), "2 name expected 1 to 64 letters"),
                Map.entry(VALID.replace("cluster = \"kigali\"\n", ""), "1 cluster expected 1 to 64 letters"),
                Map.entry(
                        VALID.replace("listen = \"127.0.0.1:0\"", "listen = \"0.0.0.0:7101\""),
                        "4 listen expected 127.0.0.1:PORT"),
                Map.entry(
                        VALID.replace("listen = \"127.0.0.1:0\"", "listen = \"10.1.2.3:7101\""),
                        "4 listen listens on loopback only"),
                Map.entry(
                        VALID.replace("listen = \"127.0.0.1:0\"", "listen = \"localhost:7101\""),
                        "4 listen expected 127.0.0.1:PORT"),
                Map.entry(VALID.replace("/tmp/s1", "s1"), "5 directory beginning with /"),
                Map.entry(VALID.replace("s3 = \"127.0.0.1:7103\"\n", ""), "6 stewards expected 1, 3 or 5"),
                Map.entry(VALID.replace("s1 = \"127", "s9 = \"127"), "6 stewards add it"),
                Map.entry(VALID.replace("127.0.0.1:7102", "127.0.0.1:99999"), "8 stewards.s2 expected 127.0.0.1:PORT"),
                Map.entry(VALID + "[timing]\nlease = \"3\"\n", "11 timing.lease expected 50ms to 600s"),
                Map.entry(VALID + "[timing]\nleas = \"3s\"\n", "11 timing.leas expected one of authority"),
                Map.entry(VALID + "[timing]\ndrift = 0.5\n", "11 timing.drift expected 0 to 0.1"),
                Map.entry(
                        VALID.replace("version = 1\n", "version = 1\nabsent = \"wait\"\n"),
                        "2 absent expected \"abort\" or \"fence\""),
                Map.entry(VALID + "[port]\n", "10 port expected one of"));
        for (Map.Entry<String, String> invalidFile : invalidFiles.entrySet()) {
            CoordinatorSettings.ReadResult read = read(invalidFile.getKey());
            assertNull(read.settings(), invalidFile.getKey());
            assertEquals(1, read.errors().size(), invalidFile.getKey() + read.errors());
            InvalidSetting error = read.errors().get(0);
            String[] expected = invalidFile.getValue().split(" ", 3);
            assertEquals(Integer.parseInt(expected[0]), error.line(), invalidFile.getKey() + error);
            assertEquals(expected[1], error.key());
            String errorText = error.message();
            assertTrue(java.util.Arrays.stream(expected[2].split("\\|")).anyMatch(errorText::contains), errorText);
            assertTrue(
                    errorText.startsWith(
                            "setting-unusable: " + directory.resolve("steward.toml") + ":" + expected[0] + ": "),
                    errorText);
        }
        assertTrue(read(VALID.replace("version = 1", "version ="))
                .errors()
                .get(0)
                .message()
                .contains(":1: file: is not valid TOML"));
        assertTrue(CoordinatorSettings.read(directory.resolve("none"))
                .errors()
                .get(0)
                .message()
                .contains("cannot be read"));
    }

    @Test
    void allErrorsAreReportedAtOnce() throws Exception {
        assertEquals(
                3,
                read(VALID.replace("version = 1", "version = 2")
                                .replace("/tmp/s1", "s1")
                                .replace("s 1", "x")
                                .replace("\"kigali\"", "5"))
                        .errors()
                        .size());
    }
}

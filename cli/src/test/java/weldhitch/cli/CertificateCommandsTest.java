package weldhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.certificates.CertificateAuthority;
import weldhitch.certificates.Identity;
import weldhitch.certificates.Identity.Role;

/**
 * Tests the command {@code certs}: issued identities, invalid arguments, and that no file is overwritten.
 */
class CertificateCommandsTest {
    @TempDir
    Path directory;

    private final StringWriter out = new StringWriter();
    private final StringWriter errors = new StringWriter();

    private int run(String... arguments) {
        return Weldhitch.commandLine()
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(errors))
                .execute(arguments);
    }

    @Test
    void issuesCertificatesOfAnAuthorityAnAgentAndAnOperator() throws Exception {
        String caDirectory = directory.resolve("ca").toString();
        String outputDirectory = directory.resolve("made").toString();
        assertEquals(0, run("certs", "ca", "--out", caDirectory));
        assertEquals(
                0,
                run(
                        "certs",
                        "agent",
                        "--ca",
                        caDirectory,
                        "--name",
                        "huye-1",
                        "--host",
                        "127.0.0.1",
                        "--out",
                        outputDirectory));
        assertEquals(
                0,
                run(
                        "certs",
                        "operator",
                        "--ca",
                        caDirectory,
                        "--name",
                        "ann",
                        "--role",
                        "operator",
                        "--out",
                        outputDirectory));
        Path annCertificate = directory.resolve("made/ann.pem");
        assertTrue(
                out.toString().endsWith("wrote " + annCertificate + " and its key, valid for 30 days\n"),
                out.toString());
        assertEquals(
                new Identity(Role.OPERATOR, "ann"),
                Identity.fromCertificate(CertificateAuthority.readPem(annCertificate, directory.resolve("made/ann.key"))
                        .certificate()));
        assertEquals(
                new Identity(null, "huye-1"),
                Identity.fromCertificate(CertificateAuthority.readPem(
                                directory.resolve("made/huye-1.pem"), directory.resolve("made/huye-1.key"))
                        .certificate()));
        byte[] bytesBefore = Files.readAllBytes(annCertificate);
        assertEquals(
                1,
                run(
                        "certs",
                        "operator",
                        "--ca",
                        caDirectory,
                        "--name",
                        "ann",
                        "--role",
                        "admin",
                        "--out",
                        outputDirectory));
        assertTrue(errors.toString().contains("ann.key already exists"), errors.toString());
        assertEquals(new String(bytesBefore), Files.readString(annCertificate), "existing certificate is unchanged");
    }

    @Test
    void reportsInvalidArgumentsAndFailures() {
        assertEquals(2, run("certs", "ca", "--out", directory.toString(), "--days", "0"));
        assertEquals(
                1,
                run(
                        "certs",
                        "agent",
                        "--ca",
                        directory.resolve("none").toString(),
                        "--name",
                        "a",
                        "--host",
                        "h",
                        "--out",
                        directory.toString()));
        assertEquals(0, run("certs", "ca", "--out", directory.toString(), "--days", "10"));
        assertEquals(
                2,
                run(
                        "certs",
                        "operator",
                        "--ca",
                        directory.toString(),
                        "--name",
                        "ann",
                        "--role",
                        "king",
                        "--out",
                        directory.toString(),
                        "--days",
                        "5"));
        assertEquals(
                1,
                run(
                        "certs",
                        "operator",
                        "--ca",
                        directory.toString(),
                        "--name",
                        "ann",
                        "--role",
                        "viewer",
                        "--out",
                        directory.toString(),
                        "--days",
                        "11"));
        assertTrue(
                errors.toString().contains("would expire later than the authority's own, which expires at"),
                errors.toString());
    }
}

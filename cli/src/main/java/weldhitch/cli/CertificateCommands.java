package weldhitch.cli;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import weldhitch.certificates.CertificateAuthority;
import weldhitch.certificates.Identity;
import weldhitch.certificates.Identity.Role;

/**
 * Issues the certificates with which agents and operators authenticate to each other. Existing files are not
 * overwritten.
 */
@Command(
        name = "certs",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "Issues the certificates of a fleet: its certificate authority, agents and operators.")
final class CertificateCommands {
    /**
     * Time by which the start of a certificate's validity precedes its creation, because the clocks of a fleet may
     * differ by some minutes.
     */
    private static final Duration CLOCK_SKEW = Duration.ofMinutes(10);

    @Spec
    private CommandSpec spec;

    @Command(
            name = "ca",
            mixinStandardHelpOptions = true,
            description = "Creates the certificate authority of a fleet: ca.pem, ca.key.")
    int createAuthority(
            @Option(names = "--out", required = true, paramLabel = "DIR") Path outputDirectory,
            @Option(
                            names = "--fleet",
                            defaultValue = "weldhitch",
                            description = "Name of the fleet; default: weldhitch.")
                    String fleetName,
            @Option(names = "--days", defaultValue = "3650", description = "Validity in days; default: 3650.")
                    int validDays) {
        return issue(validDays, (notBefore, notAfter) -> {
            CertificateAuthority.create(fleetName, notBefore, notAfter).write(outputDirectory);
            return outputDirectory.resolve("ca.pem");
        });
    }

    @Command(
            name = "agent",
            mixinStandardHelpOptions = true,
            description = "Issues the certificate of an agent: NAME.pem, NAME.key.")
    int issueAgentCertificate(
            @Option(names = "--ca", required = true, paramLabel = "DIR") Path caDirectory,
            @Option(names = "--name", required = true) String subjectName,
            @Option(names = "--host", required = true, description = "Host name or address of the agent.")
                    List<String> hosts,
            @Option(names = "--out", required = true, paramLabel = "DIR") Path outputDirectory,
            @Option(names = "--days", defaultValue = "90") int validDays) {
        return issue(validDays, (notBefore, notAfter) -> {
            CertificateAuthority.read(caDirectory)
                    .issue(new Identity(null, subjectName), hosts, notBefore, notAfter)
                    .write(outputDirectory, subjectName);
            return outputDirectory.resolve(subjectName + ".pem");
        });
    }

    @Command(
            name = "operator",
            mixinStandardHelpOptions = true,
            description = "Issues the certificate of an operator: NAME.pem, NAME.key.")
    int issueOperatorCertificate(
            @Option(names = "--ca", required = true, paramLabel = "DIR") Path caDirectory,
            @Option(names = "--name", required = true) String subjectName,
            @Option(names = "--role", required = true, description = "Role of the operator: viewer, operator or admin.")
                    String role,
            @Option(names = "--out", required = true, paramLabel = "DIR") Path outputDirectory,
            @Option(names = "--days", defaultValue = "30") int validDays) {
        return issue(validDays, (notBefore, notAfter) -> {
            CertificateAuthority.read(caDirectory)
                    .issue(new Identity(role(role), subjectName), List.of(), notBefore, notAfter)
                    .write(outputDirectory, subjectName);
            return outputDirectory.resolve(subjectName + ".pem");
        });
    }

    private static Role role(String roleName) {
        for (Role role : Role.values()) {
            if (role.name().toLowerCase(Locale.ROOT).equals(roleName)) {
                return role;
            }
        }
        throw new IllegalArgumentException("--role: \"" + roleName + "\", expected viewer, operator or admin");
    }

    /** Issues and writes one certificate for a validity period; returns its file. */
    private interface CertificateIssuer {
        Path issue(Instant notBefore, Instant notAfter) throws IOException, GeneralSecurityException;
    }

    private int issue(int validDays, CertificateIssuer issuer) {
        if (validDays < 1 || validDays > 36_500) {
            throw new ParameterException(spec.commandLine(), "--days: " + validDays + ", expected 1 to 36500");
        }
        Instant now = Instant.now();
        try {
            Path certificateFile = issuer.issue(now.minus(CLOCK_SKEW), now.plus(Duration.ofDays(validDays)));
            spec.commandLine()
                    .getOut()
                    .println("wrote " + certificateFile + " and its key, valid for " + validDays + " days");
            spec.commandLine().getOut().flush();
            return 0;
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        } catch (FileAlreadyExistsException e) {
            spec.commandLine()
                    .getErr()
                    .println("weldhitch: " + e.getMessage() + " already exists and is not overwritten");
            spec.commandLine().getErr().flush();
            return 1;
        } catch (IOException | GeneralSecurityException e) {
            spec.commandLine().getErr().println("weldhitch: " + e.getMessage());
            spec.commandLine().getErr().flush();
            return 1;
        }
    }
}

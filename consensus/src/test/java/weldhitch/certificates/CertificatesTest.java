package weldhitch.certificates;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldhitch.certificates.CertificateAuthority.IssuedCertificate;
import weldhitch.certificates.Identity.Role;

/** Tests certificates in TLS handshakes with client authentication, over loopback. */
class CertificatesTest {
    private static final Instant NOW = Instant.now();
    private static final Instant NOT_BEFORE = NOW.minus(Duration.ofHours(1));
    private static final Instant NOT_AFTER = NOW.plus(Duration.ofDays(1));

    @TempDir
    Path directory;

    private final CertificateAuthority authority = authority("fleet");
    private final IssuedCertificate agent = issue(authority, new Identity(null, "gasabo-1"), NOT_AFTER);

    private static CertificateAuthority authority(String fleet) {
        try {
            return CertificateAuthority.create(fleet, NOT_BEFORE, NOW.plus(Duration.ofDays(10)));
        } catch (GeneralSecurityException e) {
            throw new AssertionError(e);
        }
    }

    private static IssuedCertificate issue(CertificateAuthority issuer, Identity identity, Instant notAfter) {
        try {
            return issuer.issue(
                    identity, identity.isAgent() ? List.of("127.0.0.1", "localhost") : List.of(), NOT_BEFORE, notAfter);
        } catch (GeneralSecurityException e) {
            throw new AssertionError(e);
        }
    }

    private static SSLContext sslContext(IssuedCertificate ownCertificate, X509Certificate trusted) throws Exception {
        KeyStore keyStore = KeyStore.getInstance("PKCS12");
        keyStore.load(null, null);
        keyStore.setKeyEntry(
                "own", ownCertificate.key(), new char[0], new X509Certificate[] {ownCertificate.certificate()});
        KeyManagerFactory keyManagers = KeyManagerFactory.getInstance("PKIX");
        keyManagers.init(keyStore, new char[0]);
        KeyStore trustStore = KeyStore.getInstance("PKCS12");
        trustStore.load(null, null);
        trustStore.setCertificateEntry("ca", trusted);
        TrustManagerFactory trustManagers = TrustManagerFactory.getInstance("PKIX");
        trustManagers.init(trustStore);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(keyManagers.getKeyManagers(), trustManagers.getTrustManagers(), null);
        return context;
    }

    /**
     * Returns the client's identity as seen by a server that requires a certificate of the fleet. Fails if either side
     * rejects the handshake.
     */
    private Identity handshake(IssuedCertificate server, IssuedCertificate client) throws Exception {
        SSLContext serverSide = sslContext(server, authority.certificate());
        SSLContext clientSide = sslContext(client, authority.certificate());
        try (SSLServerSocket listener = (SSLServerSocket)
                serverSide.getServerSocketFactory().createServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listener.setNeedClientAuth(true);
            CompletableFuture<Identity> clientIdentity = CompletableFuture.supplyAsync(() -> {
                try (SSLSocket socket = (SSLSocket) listener.accept()) {
                    socket.startHandshake();
                    Identity identity = Identity.fromCertificate(
                            (X509Certificate) socket.getSession().getPeerCertificates()[0]);
                    socket.getOutputStream().write(1);
                    return identity;
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            try (SSLSocket socket = (SSLSocket) clientSide
                    .getSocketFactory()
                    .createSocket(InetAddress.getLoopbackAddress(), listener.getLocalPort())) {
                SSLParameters parameters = socket.getSSLParameters();
                parameters.setEndpointIdentificationAlgorithm("HTTPS");
                socket.setSSLParameters(parameters);
                socket.startHandshake();
                if (socket.getInputStream().read() != 1) {
                    throw new IOException("the server rejected the connection");
                }
            }
            return clientIdentity.get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void agentAuthenticatesAnOperatorAndItsRole() throws Exception {
        for (Role role : Role.values()) {
            IssuedCertificate operator = issue(authority, new Identity(role, "ann"), NOT_AFTER);
            assertEquals(new Identity(role, "ann"), handshake(agent, operator));
        }
        assertEquals(
                new Identity(null, "huye-1"),
                handshake(agent, issue(authority, new Identity(null, "huye-1"), NOT_AFTER)));
        assertTrue(Role.ADMIN.covers(Role.OPERATOR) && Role.OPERATOR.covers(Role.VIEWER));
        assertFalse(Role.VIEWER.covers(Role.OPERATOR));
    }

    @Test
    void untrustedAndExpiredCertificatesAreRejected() {
        IssuedCertificate untrusted = issue(authority("fleet"), new Identity(Role.ADMIN, "ann"), NOT_AFTER);
        assertThrows(IOException.class, () -> handshake(agent, untrusted));
        IssuedCertificate expired = issue(authority, new Identity(Role.ADMIN, "ann"), NOW.minus(Duration.ofMinutes(1)));
        assertThrows(IOException.class, () -> handshake(agent, expired));
        IssuedCertificate expiredAgent = issue(authority, new Identity(null, "old"), NOW.minus(Duration.ofMinutes(1)));
        IssuedCertificate operatorCertificate = issue(authority, new Identity(Role.VIEWER, "ann"), NOT_AFTER);
        assertThrows(IOException.class, () -> handshake(expiredAgent, operatorCertificate));
    }

    @Test
    void operatorCertificateIsValidForClientsOnlyAndCannotSign() throws Exception {
        IssuedCertificate operatorCertificate = issue(authority, new Identity(Role.ADMIN, "ann"), NOT_AFTER);
        assertThrows(IOException.class, () -> handshake(operatorCertificate, operatorCertificate));
        assertEquals(-1, operatorCertificate.certificate().getBasicConstraints());
        assertEquals(0, authority.certificate().getBasicConstraints(), "no subordinate authorities are allowed");
    }

    @Test
    void certificateWithoutExactlyOneIdentityIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> Identity.fromCertificate(authority.certificate()));
        assertThrows(IllegalArgumentException.class, () -> new Identity(Role.VIEWER, "ann/../ben"));
        assertThrows(
                GeneralSecurityException.class,
                () -> authority.issue(
                        new Identity(Role.VIEWER, "ann"), List.of(), NOT_BEFORE, NOW.plus(Duration.ofDays(11))),
                "a certificate that expires after the authority's own");
    }

    @Test
    void keysAreReadableByTheirOwnerOnlyAndNeverOverwritten() throws Exception {
        authority.write(directory);
        agent.write(directory, "gasabo-1");
        for (String keyFile : List.of("ca.key", "gasabo-1.key")) {
            assertEquals(
                    "rw-------",
                    PosixFilePermissions.toString(Files.getPosixFilePermissions(directory.resolve(keyFile))));
        }
        assertThrows(IOException.class, () -> authority.write(directory));
        CertificateAuthority reloaded = CertificateAuthority.read(directory);
        assertEquals(authority.certificate(), reloaded.certificate());
        IssuedCertificate operatorCertificate = issue(reloaded, new Identity(Role.OPERATOR, "ann"), NOT_AFTER);
        IssuedCertificate fromDisk =
                CertificateAuthority.readPem(directory.resolve("gasabo-1.pem"), directory.resolve("gasabo-1.key"));
        assertEquals("ann", handshake(fromDisk, operatorCertificate).name());
        IOException e = assertThrows(
                IOException.class,
                () -> CertificateAuthority.readPem(directory.resolve("ca.key"), directory.resolve("ca.key")));
        assertTrue(e.getMessage().endsWith("ca.key: contains no certificate"), e.getMessage());
    }
}

package weldhitch.certificates;

import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.math.BigInteger;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.Set;
import javax.security.auth.x500.X500Principal;
import org.bouncycastle.asn1.pkcs.PrivateKeyInfo;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.ExtendedKeyUsage;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.asn1.x509.KeyPurposeId;
import org.bouncycastle.asn1.x509.KeyUsage;
import org.bouncycastle.cert.X509CertificateHolder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509ExtensionUtils;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.PEMParser;
import org.bouncycastle.openssl.jcajce.JcaPEMKeyConverter;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * The fleet's own certificate authority, which signs the certificates of agents and operators (X.509, RFC 5280; keys
 * on P-256). It is stored as PEM: {@code ca.pem} is public, {@code ca.key} is readable by its owner only. Immutable and
 * thread-safe.
 */
public final class CertificateAuthority {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int SERIAL_BITS = 127;

    private final X509Certificate certificate;
    private final PrivateKey key;

    private CertificateAuthority(X509Certificate certificate, PrivateKey key) {
        this.certificate = certificate;
        this.key = key;
    }

    /** A certificate and its private key. Immutable. */
    public record IssuedCertificate(X509Certificate certificate, PrivateKey key) {
        /**
         * Writes {@code NAME.pem}, and {@code NAME.key} with read permission for its owner only.
         *
         * @throws IOException if the files cannot be written, or one of them exists already; nothing is overwritten
         */
        public void write(Path directory, String name) throws IOException {
            Files.createDirectories(directory);
            Path keyFile = directory.resolve(name + ".key");
            Files.newByteChannel(
                            keyFile,
                            Set.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE),
                            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")))
                    .close();
            Files.writeString(keyFile, toPem(key));
            Files.writeString(directory.resolve(name + ".pem"), toPem(certificate), StandardOpenOption.CREATE_NEW);
        }
    }

    /** Creates an authority with a new key and a self-signed certificate, valid between the two instants. */
    public static CertificateAuthority create(String fleet, Instant notBefore, Instant notAfter)
            throws GeneralSecurityException {
        KeyPair keyPair = generateKeyPair();
        X500Principal subject = new X500Principal("CN=" + new Identity(null, fleet).name());
        JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(
                subject, randomSerialNumber(), Date.from(notBefore), Date.from(notAfter), subject, keyPair.getPublic());
        try {
            builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(0));
            builder.addExtension(Extension.keyUsage, true, new KeyUsage(KeyUsage.keyCertSign | KeyUsage.cRLSign));
            builder.addExtension(
                    Extension.subjectKeyIdentifier,
                    false,
                    new JcaX509ExtensionUtils().createSubjectKeyIdentifier(keyPair.getPublic()));
        } catch (IOException e) {
            throw new GeneralSecurityException(e);
        }
        return new CertificateAuthority(sign(builder, keyPair.getPrivate()), keyPair.getPrivate());
    }

    /**
     * Reads the authority from its directory.
     *
     * @throws IOException if {@code ca.pem} or {@code ca.key} is missing or invalid
     */
    public static CertificateAuthority read(Path directory) throws IOException {
        IssuedCertificate issued = readPem(directory.resolve("ca.pem"), directory.resolve("ca.key"));
        return new CertificateAuthority(issued.certificate(), issued.key());
    }

    /** Reads a certificate and a key that {@link IssuedCertificate#write} wrote. */
    public static IssuedCertificate readPem(Path certificateFile, Path keyFile) throws IOException {
        try (PEMParser certificates = new PEMParser(new StringReader(Files.readString(certificateFile)));
                PEMParser keys = new PEMParser(new StringReader(Files.readString(keyFile)))) {
            if (!(certificates.readObject() instanceof X509CertificateHolder holder)) {
                throw new IOException(certificateFile + ": contains no certificate");
            }
            if (!(keys.readObject() instanceof PrivateKeyInfo key)) {
                throw new IOException(keyFile + ": contains no private key");
            }
            return new IssuedCertificate(
                    new JcaX509CertificateConverter().getCertificate(holder),
                    new JcaPEMKeyConverter().getPrivateKey(key));
        } catch (GeneralSecurityException e) {
            throw new IOException(certificateFile + ": " + e.getMessage(), e);
        }
    }

    /** Writes {@code ca.pem} and {@code ca.key}; existing files are not overwritten. */
    public void write(Path directory) throws IOException {
        new IssuedCertificate(certificate, key).write(directory, "ca");
    }

    /** Returns the authority's own certificate, the trust anchor of the fleet. */
    public X509Certificate certificate() {
        return certificate;
    }

    /**
     * Issues a certificate. That of an agent is valid for servers and clients, that of an operator for clients only.
     *
     * @param hosts DNS names and IP addresses of an agent; empty for operators
     * @throws GeneralSecurityException if the certificate cannot be created, or would be valid for longer than the
     *     authority's own
     */
    public IssuedCertificate issue(Identity identity, List<String> hosts, Instant notBefore, Instant notAfter)
            throws GeneralSecurityException {
        if (notAfter.isAfter(certificate.getNotAfter().toInstant())) {
            throw new GeneralSecurityException(
                    "the certificate would expire later than the authority's own, which expires at "
                            + certificate.getNotAfter().toInstant());
        }
        KeyPair keyPair = generateKeyPair();
        JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(
                certificate,
                randomSerialNumber(),
                Date.from(notBefore),
                Date.from(notAfter),
                new X500Principal("CN=" + identity.name()),
                keyPair.getPublic());
        List<GeneralName> alternativeNames =
                new ArrayList<>(List.of(new GeneralName(GeneralName.uniformResourceIdentifier, identity.uri())));
        for (String host : hosts) {
            alternativeNames.add(new GeneralName(isAddress(host) ? GeneralName.iPAddress : GeneralName.dNSName, host));
        }
        // Agents also connect to each other as clients, to learn committed states.
        KeyPurposeId[] purposes = identity.isAgent()
                ? new KeyPurposeId[] {KeyPurposeId.id_kp_serverAuth, KeyPurposeId.id_kp_clientAuth}
                : new KeyPurposeId[] {KeyPurposeId.id_kp_clientAuth};
        try {
            JcaX509ExtensionUtils extensionUtils = new JcaX509ExtensionUtils();
            builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(false));
            builder.addExtension(Extension.keyUsage, true, new KeyUsage(KeyUsage.digitalSignature));
            builder.addExtension(Extension.extendedKeyUsage, false, new ExtendedKeyUsage(purposes));
            builder.addExtension(
                    Extension.authorityKeyIdentifier, false, extensionUtils.createAuthorityKeyIdentifier(certificate));
            builder.addExtension(
                    Extension.subjectAlternativeName,
                    false,
                    new GeneralNames(alternativeNames.toArray(new GeneralName[0])));
        } catch (IOException e) {
            throw new GeneralSecurityException(e);
        }
        return new IssuedCertificate(sign(builder, key), keyPair.getPrivate());
    }

    private static boolean isAddress(String host) {
        // Only IP address literals are parsed here; a name is never resolved.
        if (!host.matches("[0-9.]+|[0-9a-fA-F:]*:[0-9a-fA-F:.]*")) {
            return false;
        }
        try {
            return InetAddress.getByName(host) != null;
        } catch (IOException e) {
            return false;
        }
    }

    private static X509Certificate sign(JcaX509v3CertificateBuilder builder, PrivateKey signingKey)
            throws GeneralSecurityException {
        try {
            return new JcaX509CertificateConverter()
                    .getCertificate(builder.build(new JcaContentSignerBuilder("SHA256withECDSA").build(signingKey)));
        } catch (OperatorCreationException e) {
            throw new GeneralSecurityException(e);
        }
    }

    private static KeyPair generateKeyPair() throws GeneralSecurityException {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(new ECGenParameterSpec("secp256r1"), RANDOM);
        return generator.generateKeyPair();
    }

    private static BigInteger randomSerialNumber() {
        return new BigInteger(SERIAL_BITS, RANDOM).add(BigInteger.ONE);
    }

    private static String toPem(Object object) throws IOException {
        StringWriter output = new StringWriter();
        try (JcaPEMWriter writer = new JcaPEMWriter(output)) {
            // PKCS #8, which other programs can read too; by default the writer would use the older format for this
            // curve.
            writer.writeObject(object instanceof PrivateKey key ? new JcaPKCS8Generator(key, null) : object);
        }
        return output.toString();
    }
}

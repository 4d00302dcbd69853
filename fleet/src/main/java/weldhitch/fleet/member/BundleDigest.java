package weldhitch.fleet.member;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes the digests by which members and coordinators identify the contents of a version's bundle. Stateless and
 * thread-safe.
 */
public final class BundleDigest {
    private BundleDigest() {}

    /** Returns the SHA-256 digest of a bundle in lower-case hexadecimal. */
    public static String sha256(byte[] bundle) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bundle));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from this JDK", e);
        }
    }
}

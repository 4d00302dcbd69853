package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import org.junit.jupiter.api.Test;

/** Tests the accounting and the limits of {@link AccountedHeaders}. */
class AccountedHeadersTest {
    private final ResourceLimits limits = new ResourceLimits(1024, 64L << 20);

    @Test
    void fieldsAreReservedWithTheirOverheadUntilTheyAreReleased() {
        AccountedHeaders headers = new AccountedHeaders(limits);
        headers.add("ab", "cde");
        headers.add((CharSequence) "f", "");
        assertEquals(2L * AccountedHeaders.FIELD_OVERHEAD_BYTES + 6, limits.reservedBytes());
        headers.release();
        headers.release();
        assertEquals(0, limits.reservedBytes());
    }

    @Test
    void numberOfFieldsIsLimited() {
        AccountedHeaders headers = new AccountedHeaders(limits);
        for (int i = 0; i < AccountedHeaders.MAX_FIELDS; i++) {
            headers.add("a", "");
        }
        assertThrows(TooLongHttpHeaderException.class, () -> headers.add("a", ""));
    }

    @Test
    void fieldAboveTheMemoryLimitIsRejectedAndNotReserved() {
        ResourceLimits exhausted = new ResourceLimits(1024, 0);
        AccountedHeaders headers = new AccountedHeaders(exhausted);
        assertThrows(AccountedHeaders.MemoryLimitException.class, () -> headers.add("a", ""));
        assertEquals(0, exhausted.reservedBytes());
    }

    @Test
    void factoryReleasesOnlyTheIncompleteMessage() {
        AccountedHeadersFactory factory = new AccountedHeadersFactory(limits);
        DefaultHttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", factory);
        request.headers().add("a", "");
        long complete = limits.reservedBytes();
        factory.newHeaders().add("b", "");
        factory.releaseIncomplete();
        assertEquals(complete, limits.reservedBytes());
        AccountedHeaders.releaseHeadersOf(request);
        assertEquals(0, limits.reservedBytes());
    }
}

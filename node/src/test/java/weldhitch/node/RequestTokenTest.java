package weldhitch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Compares the hand-written validators of request headers with the regular expressions that define the valid
 * values.
 */
class RequestTokenTest {
    @Test
    void validatorsAgreeWithTheRegularExpressions() {
        SplittableRandom random = new SplittableRandom(3);
        String characters = "0123456789..0123456789!~ \u007f\u00e9a-+";
        for (int i = 0; i < 50_000; i++) {
            StringBuilder text = new StringBuilder();
            int from = random.nextInt(characters.length());
            for (int n = random.nextInt(i % 10 == 0 ? 70 : 6); n > 0; n--) {
                text.append(characters.charAt(from > 12 ? random.nextInt(characters.length()) : random.nextInt(12)));
            }
            String token = text.toString();
            assertEquals(token.matches("[!-~]{1,64}"), ClientRequestParser.isRequestId(token), token);
            assertEquals(token.matches("[0-9]{1,18}(\\.[0-9]{0,18})?"), ClientRequestParser.isDecimal(token), token);
        }
        assertEquals(true, ClientRequestParser.isDecimal("123456789012345678.123456789012345678"));
        assertEquals(false, ClientRequestParser.isDecimal("1.1234567890123456789"));
    }
}

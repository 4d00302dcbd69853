package weldhitch.operator;

import java.math.BigDecimal;

/** Spans and figures as people write them. */
final class Spans {
    private Spans() {
    }

    static String text(long nanos) {
        if (nanos >= 1_000_000_000L) {
            return plain(nanos / 1e9) + "s";
        }
        return nanos >= 1_000_000L ? plain(nanos / 1e6) + "ms" : plain(nanos / 1e3) + "us";
    }

    static String plain(double figure) {
        return BigDecimal.valueOf(figure).stripTrailingZeros().toPlainString();
    }
}

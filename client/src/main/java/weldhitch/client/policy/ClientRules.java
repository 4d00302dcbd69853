package weldhitch.client.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The figures that a client goes by; spans are nanoseconds.
 *
 * @param tries of one call at most, the first included; 1 to 10
 * @param firstWait the least a repeat waits, from which waits grow (decorrelated jitter); 1 ms to 1 minute
 * @param longestWait the most that a wait of the client's own is; from {@code firstWait} to 10 minutes
 * @param budgetShare repeats for each call over time; 0 to 1
 * @param budgetFloor repeats a second that are allowed whatever the share says; 0 to 1000
 * @param accepts how many times as many requests as are accepted still go out (Site Reliability Engineering, chapter 21); 1.1 to 100
 * @param openAfter failures of a node in a row after which it is set aside; 1 to 1000
 * @param spread the window over which a client returns to a lost node, at first; 10 ms to 10 minutes
 * @param longestSpread to which the window grows with the outage; from {@code spread} to 1 hour
 * @param subset nodes that this client uses of all; 1 or more
 * @param keyMemory how long servers remember a key; 0 for not at all
 */
public record ClientRules(int tries, long firstWait, long longestWait, double budgetShare, double budgetFloor, double accepts,
        int openAfter, long spread, long longestSpread, int subset, long keyMemory) {
    public static final long MS = 1_000_000L;
    public static final long SECOND = 1_000 * MS;
    public static final ClientRules USUAL = new ClientRules(3, 100 * MS, 10 * SECOND, 0.1, 0.2, 2, 3, SECOND, 60 * SECOND, 3, 0);

    /** @throws IllegalArgumentException naming all figures that are out of range */
    public ClientRules {
        List<String> wrong = new ArrayList<>();
        check(wrong, tries >= 1 && tries <= 10, "tries", tries, "1 to 10");
        check(wrong, firstWait >= MS && firstWait <= 60 * SECOND, "firstWait", firstWait, "1 ms to 1 minute");
        check(wrong, longestWait >= firstWait && longestWait <= 600 * SECOND, "longestWait", longestWait, "firstWait to 10 minutes");
        check(wrong, budgetShare >= 0 && budgetShare <= 1, "budgetShare", budgetShare, "0 to 1");
        check(wrong, budgetFloor >= 0 && budgetFloor <= 1000, "budgetFloor", budgetFloor, "0 to 1000");
        check(wrong, accepts >= 1.1 && accepts <= 100, "accepts", accepts, "1.1 to 100");
        check(wrong, openAfter >= 1 && openAfter <= 1000, "openAfter", openAfter, "1 to 1000");
        check(wrong, spread >= 10 * MS && spread <= 600 * SECOND, "spread", spread, "10 ms to 10 minutes");
        check(wrong, longestSpread >= spread && longestSpread <= 3600 * SECOND, "longestSpread", longestSpread, "spread to 1 hour");
        check(wrong, subset >= 1, "subset", subset, "1 or more");
        check(wrong, keyMemory >= 0, "keyMemory", keyMemory, "0 or more");
        if (!wrong.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", wrong));
        }
    }

    private static void check(List<String> wrong, boolean sound, String name, Object value, String expected) {
        if (!sound) {
            wrong.add(name + ": " + value + ", expected " + expected);
        }
    }
}

package weldhitch.routeconfig;

import java.util.HashMap;
import java.util.Map;
import weldhitch.decision.settings.BalancerSettings;
import weldhitch.decision.settings.FlatSettingsParser;

/** Creates platform settings against which tests validate files. */
final class TestPlatforms {
    private TestPlatforms() {}

    /** Returns the default test platform with some settings changed. */
    static BalancerSettings platform(Map<String, String> overrides) {
        Map<String, String> settings = new HashMap<>();
        String[] classes = {"read", "book", "feed", "whole"};
        for (int i = 0; i < classes.length; i++) {
            settings.put("classes." + i + ".name", classes[i]);
            settings.put("classes." + i + ".effect", i % 2 == 0 ? "read_like" : "non_idempotent");
            settings.put("classes." + i + ".aimS", "4");
            settings.put("classes." + i + ".deadlineS", "8");
        }
        settings.putAll(Map.of(
                "classes.count",
                "4",
                "customers.count",
                "2",
                "customers.0.name",
                "clinic-a",
                "customers.1.name",
                "clinic-b",
                "limits.maxAttempts",
                "4",
                "limits.secondCopies",
                "true",
                "limits.cancel",
                "true",
                "limits.retryAfter",
                "true",
                "limits.maxRetryAfterS",
                "1.5"));
        settings.put("quantumS", "0.002");
        settings.putAll(overrides);
        return new FlatSettingsParser(settings).settings();
    }

    /** Returns the default test platform. */
    static BalancerSettings platform() {
        return platform(Map.of());
    }
}

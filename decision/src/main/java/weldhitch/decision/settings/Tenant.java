package weldhitch.decision.settings;

import java.util.Objects;

/** A tenant and its quota in requests per second over all nodes together, 0 for no quota. */
public record Tenant(String name, double quotaPerSecond) {
    public Tenant {
        Objects.requireNonNull(name, "tenants.name");
        SettingRange.require(quotaPerSecond >= 0, "tenants.quotaPerSecond", quotaPerSecond, "0 or more");
    }
}

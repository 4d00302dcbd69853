package weldhitch.decision.settings;

/** What an endpoint's weight in the endpoint list means. */
public enum WeightKind {
    NONE,
    NOMINAL,
    APPROXIMATE,
    LIVE
}

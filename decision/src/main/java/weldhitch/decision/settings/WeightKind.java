package weldhitch.decision.settings;

/** The meaning of an endpoint's weight in the endpoint list. */
public enum WeightKind {
    NONE,
    NOMINAL,
    APPROXIMATE,
    LIVE
}

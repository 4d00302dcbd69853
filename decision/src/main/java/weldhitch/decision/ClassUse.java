package weldhitch.decision;

import weldhitch.decision.Balancing.RequestClass;

/**
 * A class's usual round trip in nanoseconds, by the cost hint where there is one. Round trips are divided by it, so
 * that a server is not judged by what it happened to get (the paper's remedy for mixed requests, section 6).
 */
final class ClassUse {
    static final double USUAL_STEP = 0.02;

    final RequestClass about;
    double trip;
    double deviation;
    double cost;
    double costVariance;
    double covariance;
    int seen;

    ClassUse(RequestClass about) {
        this.about = about;
    }

    void learn(double hint, double latency) {
        double step = Math.max(USUAL_STEP, 1.0 / ++seen);
        deviation += step * (Math.abs(latency - usual(hint)) - deviation);
        double offCost = hint - cost;
        double offTrip = latency - trip;
        cost += step * offCost;
        trip += step * offTrip;
        costVariance += step * (offCost * offCost - costVariance);
        covariance += step * (offCost * offTrip - covariance);
    }

    double usual(double hint) {
        if (seen == 0) {
            return about.aim() > 0 ? about.aim() / 4.0 : 1e8;
        }
        double slope = costVariance > 1e-12 ? covariance / costVariance : 0;
        // Answers that came in the instant of their sending must not make it nothing: means are divided by it.
        return Math.max(1, Math.max(trip / 5, trip + Math.max(0, slope) * (hint - cost)));
    }

    /**
     * How long an attempt may take before it is given up for a further one, its work lost: as RFC 6298 has it for
     * retransmission, where a single measurement counts for a deviation of half of it and none for nothing.
     */
    long timeout(double hint) {
        double usual = usual(hint);
        return seen == 0 ? Math.max(about.aim(), (long) usual) : (long) (usual + 4 * Math.max(deviation, usual / (1 + seen)));
    }

    /** How long an attempt may take before a further one is worth its work. */
    long patience(double hint) {
        return (long) (usual(hint) + 4 * deviation);
    }
}

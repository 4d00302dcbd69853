package weldhitch.simulator.scenario;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousUniformSampler;
import org.apache.commons.rng.sampling.distribution.InverseTransformParetoSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * A probability distribution, sampled with a generator that the caller passes. Immutable. Durations are in
 * nanoseconds; other values are plain numbers.
 */
public sealed interface Distribution {
    /** Draws one sample. */
    double sample(UniformRandomProvider random);

    /** Returns the expected value. */
    double mean();

    /** A distribution that always yields the same value. */
    record Constant(double mean) implements Distribution {
        @Override
        public double sample(UniformRandomProvider random) {
            return mean;
        }
    }

    /** Uniform distribution between {@code low} and {@code high}. */
    record Uniform(double low, double high) implements Distribution {
        /**
         * Checks that the bounds are in order.
         *
         * @throws IllegalArgumentException if {@code high} is below {@code low}
         */
        public Uniform {
            require(high >= low, "expected high to be at least low");
        }

        @Override
        public double sample(UniformRandomProvider random) {
            return ContinuousUniformSampler.of(random, low, high).sample();
        }

        @Override
        public double mean() {
            return (low + high) / 2;
        }
    }

    /** Exponential distribution, which the gaps between the events of a Poisson process have. */
    record Exponential(double mean) implements Distribution {
        @Override
        public double sample(UniformRandomProvider random) {
            return ZigguratSampler.Exponential.of(random, mean).sample();
        }
    }

    /** Log-normal distribution with this mean and coefficient of variation. */
    record LogNormal(double mean, double coefficientOfVariation) implements Distribution {
        @Override
        public double sample(UniformRandomProvider random) {
            double sigma2 = Math.log1p(coefficientOfVariation * coefficientOfVariation);
            return LogNormalSampler.of(
                            ZigguratSampler.NormalizedGaussian.of(random),
                            Math.log(mean) - sigma2 / 2,
                            Math.sqrt(sigma2))
                    .sample();
        }
    }

    /** Heavy-tailed Pareto distribution with this mean; the smaller the shape (above 1), the heavier the tail. */
    record Pareto(double mean, double shape) implements Distribution {
        @Override
        public double sample(UniformRandomProvider random) {
            return InverseTransformParetoSampler.of(random, mean * (shape - 1) / shape, shape)
                    .sample();
        }
    }

    private static void require(boolean condition, String expected) {
        if (!condition) {
            throw new IllegalArgumentException(expected);
        }
    }
}

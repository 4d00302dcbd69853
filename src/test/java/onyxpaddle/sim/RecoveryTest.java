package onyxpaddle.sim;

import static onyxpaddle.sim.Fleet.SECOND;

import org.junit.jupiter.api.Test;

class RecoveryTest {
    static Fleet reload(long seed, double load) {
        Fleet fleet = new Fleet(seed, 2, 4, load, 24);
        if (seed % 2 == 1) {
            fleet.breakServer(3, 1 * SECOND, 7 * SECOND);
        }
        fleet.release(8 * SECOND, 1750 * Fleet.MS, 2700 * Fleet.MS, 3);
        fleet.restart(1, 13 * SECOND, 4500 * Fleet.MS);
        fleet.restart(0, 17600 * Fleet.MS, 4500 * Fleet.MS);
        return fleet;
    }

    @Test
    void look() {
        int n = 400;
        double[] loads = {0.5, 0.56, 0.64, 0.9};
        double[][] mean = new double[loads.length][24];
        double[][] min = new double[loads.length][24];
        double[] all = new double[loads.length];
        java.util.stream.IntStream.range(0, n * loads.length).parallel().forEach(i -> {
            int l = i % loads.length;
            Fleet f = reload(i / loads.length, loads[l]);
            f.run();
            synchronized (mean) {
                for (int s = 0; s < 24; s++) {
                    mean[l][s] += f.seconds.get(s).served() / n;
                    min[l][s] = Math.min(1 - f.seconds.get(s).served(), -min[l][s]) * -1;
                    all[l] += f.seconds.get(s).served() / n / 24;
                }
            }
        });
        StringBuilder b = new StringBuilder("V=" + Integer.getInteger("v", 0) + " ");
        for (int l = 0; l < loads.length; l++) {
            b.append(String.format("%.2f:%.4f  ", loads[l], all[l]));
        }
        System.out.println(b);
        for (int l = 1; l < loads.length; l++) {
            StringBuilder c = new StringBuilder("   ");
            for (int s = 0; s < 24; s++) {
                c.append(String.format("%3.0f ", mean[l][s] * 100));
            }
            System.out.println(c);
        }
    }
}

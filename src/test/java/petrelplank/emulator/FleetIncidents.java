package petrelplank.emulator;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The incidents of a fleet of many fronts, in simulated time: what was earned, by the number of fronts. Run as a
 * program it prints the curve of {@code docs/fleet.md}, for the numbers of fronts of each branch that it is given.
 */
final class FleetIncidents {
    /** Kept, since the platform forgets loggers that nobody holds. */
    private static final Logger FRONTS = Logger.getLogger("petrelplank.proxy");

    private FleetIncidents() {}

    /**
     * What one day came to.
     *
     * @param earned worth earned over worth asked
     * @param worst the same of the worst second of those with 1 in 100 of the requests or more
     * @param unanswered requests without a final answer
     * @param late sends to a draining server after its time, and answers from before a purge
     * @param twice writes that ran twice
     */
    record Day(double earned, double worst, long unanswered, long late, long twice) {}

    static Day play(String name, int frontsPerBranch, long seed) throws IOException {
        FRONTS.setLevel(Level.OFF);
        Scenario scenario = Scenario.of(name).withFrontsPerBranch(frontsPerBranch);
        Map<String, Object> truth = new Simulation(scenario, seed, (front, life) -> null).run();
        Map<?, ?> total = (Map<?, ?>) truth.get("total");
        double worst = 1;
        for (Object second : ((Map<?, ?>) truth.get("seconds")).values()) {
            Map<?, ?> s = (Map<?, ?>) second;
            if (100 * number(s, "asked") >= number(total, "asked")) {
                worst = Math.min(worst, number(s, "worthEarned") / number(s, "worthAsked"));
            }
        }
        return new Day(
                number(total, "worthEarned") / number(total, "worthAsked"),
                worst,
                (long) number(truth, "unanswered"),
                (long) (number(truth, "lateSends") + number(truth, "latePurge")),
                (long) number(truth, "twice"));
    }

    private static double number(Map<?, ?> tree, String key) {
        return ((Number) tree.get(key)).doubleValue();
    }

    /**
     * Prints the curve.
     *
     * @param args seeds, then numbers of fronts of each branch
     * @throws IOException where a scenario can't be read
     */
    public static void main(String[] args) throws IOException {
        int seeds = Integer.parseInt(args[0]);
        for (String name : BundledScenarios.fleet()) {
            for (String fronts : List.of(args).subList(1, args.length)) {
                Map<Double, Day> days = new TreeMap<>();
                for (int seed = 1; seed <= seeds; seed++) {
                    Day day = play(name, Integer.parseInt(fronts), seed);
                    days.put(day.earned() + seed * 1e-12, day);
                }
                double worst =
                        days.values().stream().mapToDouble(Day::worst).min().orElse(0);
                double[] earned =
                        days.values().stream().mapToDouble(Day::earned).toArray();
                System.out.printf(
                        Locale.ROOT,
                        "%-12s %4d fronts: earned %.4f to %.4f, middle %.4f, worst second %.3f, " + "rules broken %d%n",
                        name,
                        3 * Integer.parseInt(fronts),
                        earned[0],
                        earned[earned.length - 1],
                        earned[earned.length / 2],
                        worst,
                        days.values().stream()
                                .mapToLong(d -> d.unanswered() + d.late() + d.twice())
                                .sum());
            }
        }
    }
}

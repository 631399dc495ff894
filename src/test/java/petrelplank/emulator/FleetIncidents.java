package petrelplank.emulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
import petrelplank.record.EventSink;

/**
 * Runs the incidents of a fleet of many proxies and measures the earned share of the priority weight for different
 * numbers of proxies. Run as a program it prints the curve of {@code docs/fleet.md} for the given numbers of proxies
 * in each zone.
 */
final class FleetIncidents {
    /** A strong reference: java.util.logging holds loggers weakly, and a collected logger loses its level. */
    private static final Logger PROXY_LOGGER = Logger.getLogger("petrelplank.proxy");

    /** A second can only be the worst one if at least one in this many of all requests was sent in it. */
    private static final int WORST_SECOND_REQUESTS_DIVISOR = 100;

    private FleetIncidents() {}

    /**
     * The result of one run.
     *
     * @param earnedShare the priority weight earned, divided by the weight of all requests
     * @param worstSecondShare the lowest such quotient of any second that had at least 1 in 100 of the requests
     * @param violations requests without a response, sends to draining servers after the grace time, copies from
     *     before a purge after its grace time, and writes that were executed more than once
     */
    record Result(double earnedShare, double worstSecondShare, long violations) {}

    static Result run(String scenarioName, int proxiesPerZone, long seed) throws IOException {
        PROXY_LOGGER.setLevel(Level.OFF);
        Scenario scenario = Scenario.of(scenarioName).withProxiesPerZone(proxiesPerZone);
        GroundTruth truth = new Simulation(scenario, seed, (proxy, incarnation) -> EventSink.NONE).run();
        double worstSecondShare = truth.seconds().values().stream()
                .filter(second -> WORST_SECOND_REQUESTS_DIVISOR * second.asked()
                        >= truth.total().asked())
                .mapToDouble(FleetIncidents::earnedShare)
                .min()
                .orElse(1);
        return new Result(
                earnedShare(truth.total()),
                Math.min(1, worstSecondShare),
                truth.unanswered() + truth.lateSends() + truth.stalePurgedCopies() + truth.repeatedWrites());
    }

    private static double earnedShare(GroundTruth.Requests requests) {
        return requests.weightEarned() / requests.weightAsked();
    }

    /**
     * Prints the curve.
     *
     * @param args the number of seeds, then one or more numbers of proxies in each zone
     * @throws IOException if a scenario can't be read
     */
    public static void main(String[] args) throws IOException {
        int seeds = Integer.parseInt(args[0]);
        for (String scenario : BundledScenarios.fleetIncidents()) {
            for (String proxiesPerZone : List.of(args).subList(1, args.length)) {
                print(scenario, Integer.parseInt(proxiesPerZone), seeds);
            }
        }
    }

    private static void print(String scenario, int proxiesPerZone, int seeds) throws IOException {
        List<Result> results = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            results.add(run(scenario, proxiesPerZone, seed));
        }
        results.sort(Comparator.comparingDouble(Result::earnedShare));
        System.out.printf(
                Locale.ROOT,
                "%-12s %4d proxies: earned %.4f to %.4f, median %.4f, worst second %.3f, violations %d%n",
                scenario,
                3 * proxiesPerZone,
                results.get(0).earnedShare(),
                results.get(seeds - 1).earnedShare(),
                results.get(seeds / 2).earnedShare(),
                results.stream().mapToDouble(Result::worstSecondShare).min().orElse(0),
                results.stream().mapToLong(Result::violations).sum());
    }
}

package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests a cache in slow start under the combined load of all proxies in its zone, in simulated time. The attempts that
 * arrive at the cache in any window of the rule's length are compared with what the rule allows at the window's end.
 */
class SlowStartFleetTest {
    private static final long MS = RouterFixture.MS;
    private static final long S = RouterFixture.S;
    private static final String COLD = "a";
    private static final double WEIGHT = 40;
    private static final long WORK_US = 100 * MS;
    private static final long STEP_US = 5 * MS;
    private static final int STEPS = 1000;
    private static final int ASKED_EACH_STEP = 24;

    private final SplittableRandom random = new SplittableRandom(11);
    private final Deque<Long> window = new ArrayDeque<>();
    private final long startedUs = 100 * S;
    private int sent;
    private double worst = Double.NEGATIVE_INFINITY;

    private static RouterFixture gateway(int gateways) {
        return new RouterFixture(RouterFixture.settings(
                WeightMeaning.NOMINAL, CacheStatusDetail.ALL, RouterFixture.permissions(), gateways));
    }

    private RouterFixture started(int gateways, long nowUs) {
        RouterFixture host = gateway(gateways);
        host.now = nowUs;
        List<EndpointInfo> members = new ArrayList<>();
        for (String id : List.of(COLD, "b", "c")) {
            members.add(new EndpointInfo(
                    id, "office", "box", 0, EndpointState.UP, WEIGHT, id.equals(COLD) ? startedUs : 0));
        }
        members.add(RouterFixture.parent("p-north", "north", 0));
        host.router.endpointsChanged(nowUs, true, members);
        return host;
    }

    private double permissions(long nowUs) {
        PlatformRules rules = RouterFixture.rules();
        double ramp = rules.slowStartFrom() + (1 - rules.slowStartFrom()) * (nowUs - startedUs) / rules.slowStartUs();
        return rules.overloadMultiple() * Math.min(1, ramp) * WEIGHT * rules.overloadUs() / WORK_US;
    }

    private void audit(long nowUs) {
        window.add(nowUs);
        sent++;
        while (window.peek() < nowUs - RouterFixture.rules().overloadUs()) {
            window.poll();
        }
        double most = permissions(nowUs);
        worst = Math.max(worst, window.size() - most - 2 * Math.sqrt(most) - 2);
    }

    /** All proxies together request far more than the cache can serve; some of them restart several times. */
    @ParameterizedTest
    @CsvSource({"2, 0.7", "20, 0.7", "30, 0.7", "100, 0.7", "30, 0.1", "100, 0.1"})
    void sumOfAllGatewaysStaysWithinTheBudget(int gateways, double restarted) {
        List<RouterFixture> fleet = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            fleet.add(started(gateways, startedUs));
        }
        long object = 0;
        for (int step = 0; step < STEPS; step++) {
            long now = startedUs + step * STEP_US;
            if (step % 100 == 99) {
                for (int i = 0; i < gateways; i++) {
                    if (random.nextDouble() < restarted) {
                        fleet.set(i, started(gateways, now));
                    }
                }
            }
            for (int i = 0; i < ASKED_EACH_STEP; i++) {
                // The product of two random numbers is uneven: some proxies get several times the mean.
                int at = (int) (gateways * random.nextDouble() * random.nextDouble());
                request(fleet.get(at), now, object++);
            }
        }
        assertThat(worst)
                .as("attempts above the budget plus random variation, in the worst window")
                .isNegative();
        assertThat(sent).as("attempts sent to the cache in slow start").isGreaterThan(gateways);
    }

    private void request(RouterFixture host, long now, long object) {
        host.now = now;
        int before = host.sent.size();
        String id = host.request(object);
        if (host.sent.size() > before && host.lastPlan().server().equals(COLD)) {
            audit(now);
        }
        if (host.attempts(id) > 0) {
            host.router.clientDisconnected(now, id);
        }
    }
}

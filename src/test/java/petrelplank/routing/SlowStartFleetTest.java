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
    private static final long SEC = RouterFixture.SEC;
    private static final String STARTING_CACHE = "a";
    private static final double WEIGHT = 40;
    private static final long TRANSFER_US = 100 * MS;
    private static final long STEP_DURATION_US = 5 * MS;
    private static final int STEPS = 1000;
    private static final int REQUESTS_PER_STEP = 24;

    private final SplittableRandom random = new SplittableRandom(11);
    private final Deque<Long> attemptTimesInWindow = new ArrayDeque<>();
    private final long startedUs = 100 * SEC;
    private int attemptsSent;
    private double worstExcess = Double.NEGATIVE_INFINITY;

    private static RouterFixture proxy(int proxyCount) {
        return new RouterFixture(RouterFixture.settings(
                WeightMeaning.NOMINAL, CacheStatusDetail.ALL, RouterFixture.permissions(), proxyCount));
    }

    private RouterFixture restartedProxy(int proxyCount, long nowUs) {
        RouterFixture host = proxy(proxyCount);
        host.now = nowUs;
        List<EndpointInfo> endpoints = new ArrayList<>();
        for (String id : List.of(STARTING_CACHE, "b", "c")) {
            endpoints.add(new EndpointInfo(
                    id, "office", "box", 0, EndpointState.UP, WEIGHT, id.equals(STARTING_CACHE) ? startedUs : 0));
        }
        endpoints.add(RouterFixture.parent("p-north", "north", 0));
        host.router.endpointsChanged(nowUs, true, endpoints);
        return host;
    }

    private double allowedAttempts(long nowUs) {
        PlatformRules rules = RouterFixture.rules();
        double capacityFraction = rules.slowStartInitialFraction()
                + (1 - rules.slowStartInitialFraction()) * (nowUs - startedUs) / rules.slowStartDurationUs();
        return rules.overloadMultiple()
                * Math.min(1, capacityFraction)
                * WEIGHT
                * rules.overloadDurationUs()
                / TRANSFER_US;
    }

    private void recordAttempt(long nowUs) {
        attemptTimesInWindow.add(nowUs);
        attemptsSent++;
        while (attemptTimesInWindow.peek() < nowUs - RouterFixture.rules().overloadDurationUs()) {
            attemptTimesInWindow.poll();
        }
        double allowed = allowedAttempts(nowUs);
        worstExcess = Math.max(worstExcess, attemptTimesInWindow.size() - allowed - 2 * Math.sqrt(allowed) - 2);
    }

    /** All proxies together request far more than the cache can serve; some of them restart several times. */
    @ParameterizedTest
    @CsvSource({"2, 0.7", "20, 0.7", "30, 0.7", "100, 0.7", "30, 0.1", "100, 0.1"})
    void attemptsOfAllProxiesStayWithinTheBudget(int proxyCount, double restartProbability) {
        List<RouterFixture> proxies = new ArrayList<>();
        for (int i = 0; i < proxyCount; i++) {
            proxies.add(restartedProxy(proxyCount, startedUs));
        }
        long object = 0;
        for (int step = 0; step < STEPS; step++) {
            long now = startedUs + step * STEP_DURATION_US;
            if (step % 100 == 99) {
                for (int i = 0; i < proxyCount; i++) {
                    if (random.nextDouble() < restartProbability) {
                        proxies.set(i, restartedProxy(proxyCount, now));
                    }
                }
            }
            for (int i = 0; i < REQUESTS_PER_STEP; i++) {
                // The product of two random numbers is uneven: some proxies get several times the mean.
                int proxyIndex = (int) (proxyCount * random.nextDouble() * random.nextDouble());
                sendRequest(proxies.get(proxyIndex), now, object++);
            }
        }
        assertThat(worstExcess)
                .as("attempts above the budget plus random variation, in the worst window")
                .isNegative();
        assertThat(attemptsSent).as("attempts sent to the cache in slow start").isGreaterThan(proxyCount);
    }

    private void sendRequest(RouterFixture host, long now, long object) {
        host.now = now;
        int sentBefore = host.sent.size();
        String id = host.request(object);
        if (host.sent.size() > sentBefore && host.lastPlan().server().equals(STARTING_CACHE)) {
            recordAttempt(now);
        }
        if (host.attemptCount(id) > 0) {
            host.router.clientDisconnected(now, id);
        }
    }
}

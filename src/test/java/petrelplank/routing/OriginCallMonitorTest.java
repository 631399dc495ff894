package petrelplank.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the detection of congestion on the origin's link. If too many fills share that link, each is slow although its
 * first byte arrives soon, and fills for disconnected clients go on. Without this detection, goodput from the origin
 * fell to a fiftieth.
 */
class OriginCallMonitorTest {
    private final RouterFixture host = new RouterFixture(RouterFixture.settings(
                    WeightMeaning.ROUGH,
                    CacheStatusDetail.ALL,
                    RouterFixture.permissions(),
                    2,
                    List.of("concurrent", "x0", "x1")))
            .withUsualEndpoints();
    /** Use of the zone's link in all load reports. */
    private double linkUtilization = 0.4;

    /** Ends a fill after {@code latencyUs}, with its first byte after {@code waitUs}. */
    private void endAttempt(String id, AttemptStatus status, CacheStatus cacheStatus, long latencyUs, long waitUs) {
        host.now += latencyUs;
        host.router.attemptEnded(
                host.now,
                new AttemptOutcome(
                        id,
                        host.attemptCount(id) - 1,
                        status,
                        latencyUs,
                        status == AttemptStatus.OK,
                        cacheStatus,
                        waitUs,
                        new double[] {1, 0.5, linkUtilization},
                        0));
    }

    /** Requests ten more objects, and returns how many of them may not call the origin. */
    private long withheldFromOriginOfTen() {
        int sentBefore = host.sent.size();
        for (int i = 10_000; i < 10_010; i++) {
            host.request(i);
        }
        return host.sent.subList(sentBefore, host.sent.size()).stream()
                .filter(attempt -> attempt.plan().onlyIfCached()
                        || attempt.plan().server().equals(attempt.plan().source()))
                .count();
    }

    /** Every other fill comes from the origin and takes {@code slowUs}; the others take {@code usualUs}. */
    private void fills(long slowUs, long usualUs) {
        for (int i = 0; i < 40; i++) {
            String id = host.request(i);
            boolean fromOrigin = i % 2 == 0 && !host.lastPlan().onlyIfCached();
            endAttempt(
                    id,
                    AttemptStatus.OK,
                    fromOrigin ? CacheStatus.FILLED_FROM_ORIGIN : CacheStatus.FILLED,
                    (fromOrigin ? slowUs : usualUs) + 10 * MS,
                    10 * MS);
        }
    }

    @Test
    void slowFillsBehindAnEarlyFirstByteCutTheOriginsShare() {
        fills(2 * SEC, 110 * MS);
        assertThat(withheldFromOriginOfTen()).isGreaterThanOrEqualTo(4);
        assertThat(host.logLines).anyMatch(line -> line.startsWith("origin overloaded"));
        assertThat(host.logLines).as("no parent is ejected").noneMatch(line -> line.startsWith("ejected: p-"));
    }

    @Test
    void fillsFromTheOriginAtTheUsualPaceCutNothing() {
        fills(110 * MS, 110 * MS);
        assertThat(withheldFromOriginOfTen()).isZero();
    }

    /** If the zone's own link is reported as congested, that explains slow fills. */
    @Test
    void congestionOfTheZonesOwnLinkIsNotTheOriginsFault() {
        linkUtilization = 6;
        fills(900 * MS, 900 * MS);
        assertThat(host.logLines).noneMatch(line -> line.startsWith("origin overloaded"));
    }

    /** If a fill times out while cache and parent answer other requests, the origin is overloaded. */
    @Test
    void fillsThatTimeOutWhileCacheAndParentServeOthersCutTheOriginsShare() {
        assertThat(withheldFromOriginAfterTimeouts(true)).isGreaterThanOrEqualTo(4);
    }

    /** A cache or parent that answers no requests at all is at fault itself. */
    @Test
    void fillsThatTimeOutAtASilentCacheAreNotTheOriginsFault() {
        assertThat(withheldFromOriginAfterTimeouts(false)).isZero();
    }

    private long withheldFromOriginAfterTimeouts(boolean othersAnswered) {
        for (int i = 0; i < 30; i++) {
            String timedOutRequest = host.request(i);
            String server = host.lastPlan().server();
            String source = host.lastPlan().source();
            long sentUs = host.now;
            for (int j = 0; othersAnswered && j < 40; j++) {
                String otherRequest = host.request(1000 + 40 * i + j);
                boolean sameRoute = host.lastPlan().server().equals(server)
                        && host.lastPlan().source().equals(source);
                endAttempt(otherRequest, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS, 10 * MS);
                if (sameRoute) {
                    break;
                }
            }
            host.now = Math.max(host.now, sentUs + 3900 * MS);
            host.router.attemptEnded(
                    host.now,
                    new AttemptOutcome(
                            timedOutRequest,
                            0,
                            AttemptStatus.TIMEOUT,
                            host.now - sentUs,
                            false,
                            CacheStatus.NONE,
                            0,
                            null,
                            0));
        }
        return withheldFromOriginOfTen();
    }
}

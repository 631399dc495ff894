package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how many attempts may be in flight at once. */
class ConcurrencyLimiterTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void overloadIsRejectedAtOnceWithRetryAdvice() {
        for (int i = 0; i < 400; i++) {
            host.request(i);
        }
        assertTrue(host.rejected.size() > 200, "rejected " + host.rejected.size() + " of 400, expected more than 200");
        assertEquals(SEC, host.retryAfter.get(0));
        assertEquals(400, host.sent.size() + host.rejected.size());
    }

    @Test
    void resetConnectionsDoNotShrinkTheLimits() {
        for (int i = 0; i < 60; i++) {
            String id = host.request(i);
            host.endAttempt(id, AttemptStatus.RESET, CacheStatus.SOURCE_UNREACHABLE, 50 * MS);
            if (!host.isRejectedOrFailed(id)) {
                host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
            }
        }
        int rejectedBefore = host.rejected.size();
        for (int i = 100; i < 120; i++) {
            host.request(i);
        }
        assertEquals(rejectedBefore, host.rejected.size());
    }

    @Test
    void lateResponsesShrinkTheLimitOfFills() {
        for (int i = 0; i < 30; i++) {
            host.endAttempt(host.request(i), AttemptStatus.OK, CacheStatus.FILLED, 2 * SEC);
        }
        for (int i = 100; i < 120; i++) {
            host.request(i);
        }
        long lookups = host.sent.stream()
                .filter(attempt -> attempt.plan().server().equals(attempt.plan().source()))
                .count();
        assertTrue(lookups >= 15, "cache lookups without a fill: " + lookups + ", expected at least 15");
    }

    /**
     * Guards against rejections without load: if sizes are unknown, the transfer time of large objects is
     * underestimated, and their responses count as late.
     */
    @Test
    void lateResponsesDoNotShrinkLimitsWhileReportsShowSpareCapacity() {
        assertTrue(lookupsAfterLateFills(1.2) < 5);
        assertTrue(lookupsAfterLateFills(1.8) >= 15);
    }

    @Test
    void overloadRejectsLargePartsFirst() {
        host.requestAndFill(0, 100);
        int largeRejected = 0;
        int usualRejected = 0;
        for (int i = 1000; i < 1400; i++) {
            String id = "x" + i;
            boolean isLarge = i % 2 == 0;
            host.router.requestReceived(
                    host.now,
                    new RoutingRequest(
                            id, i, 0, 0, "video", host.now + 4 * SEC, isLarge ? 1600 : 800, false, false, null));
            largeRejected += isLarge && host.rejected.contains(id) ? 1 : 0;
            usualRejected += !isLarge && host.rejected.contains(id) ? 1 : 0;
        }
        assertTrue(
                200 - usualRejected > 1.3 * (200 - largeRejected),
                "of 200 requests each, rejected " + largeRejected + " for large parts and " + usualRejected
                        + " for usual ones");
    }

    @Test
    void lostResponsesDoNotShrinkLimits() {
        host.requestAndFill(0, 100);
        for (int i = 0; i < 60; i++) {
            String id = host.request(1000 + i);
            host.advance(500 * MS);
            host.endAttempt(id, AttemptStatus.OK, CacheStatus.HIT, 110 * MS);
            host.requestAndFill(2000 + 10 * i, 2010 + 10 * i);
        }
        host.rejected.clear();
        for (int i = 0; i < 10; i++) {
            host.request(9000 + i);
        }
        assertTrue(host.rejected.isEmpty(), host.rejected.toString());
    }

    @Test
    void proxiesOfAZoneShareItsLimits() {
        RouterFixture oneOfManyProxies = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.NOMINAL, CacheStatusDetail.ALL, RouterFixture.permissions(), 40))
                .withUsualEndpoints();
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            sent += oneOfManyProxies.attemptCount(oneOfManyProxies.request(i)) > 0 ? 1 : 0;
        }
        assertTrue(sent > 0 && sent * 40 < 1000, "one of 40 proxies sent " + sent + " attempts, expected 1 to 24");
    }

    @Test
    void zoneWithoutAProxyCountIsServed() {
        RouterFixture hostWithUnknownProxyCount = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.NOMINAL, CacheStatusDetail.ALL, RouterFixture.permissions(), 0))
                .withUsualEndpoints();
        assertEquals(1, hostWithUnknownProxyCount.attemptCount(hostWithUnknownProxyCount.request(1)));
    }

    /**
     * Guards against rejections while the zone's link is half empty, by proxies whose own limits allow only a few fills
     * each.
     */
    @Test
    void fillsContinueWhileReportsShowSpareCapacityOnTheLink() {
        assertEquals(0, lookupsInABurst(0.5));
        assertTrue(lookupsInABurst(1.2) > 10);
    }

    /** The latency objective grows with the transfer time, so that a slow response may be in time for its size. */
    @Test
    void largeResponsesInTimeForTheirSizeDoNotShrinkLimits() {
        assertTrue(lookupsAfterFillsOf(800) >= 15);
        assertTrue(lookupsAfterFillsOf(8000) < 5);
    }

    private static long lookupsAfterLateFills(double linkUtilization) {
        RouterFixture reportingHost = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        2,
                        List.of("concurrent", "x0", "x1")))
                .withUsualEndpoints();
        for (int i = 0; i < 30; i++) {
            reportingHost.endAttempt(
                    reportingHost.request(i), AttemptStatus.OK, CacheStatus.FILLED, 2 * SEC, new double[] {
                        1, 0.5, linkUtilization
                    });
        }
        for (int i = 100; i < 120; i++) {
            reportingHost.request(i);
        }
        return reportingHost.sent.stream()
                .filter(attempt -> attempt.plan().server().equals(attempt.plan().source()))
                .count();
    }

    private static long lookupsInABurst(double linkUtilization) {
        RouterFixture reportingHost = hostWithLoadReports();
        reportingHost.endAttempt(reportingHost.request(1), AttemptStatus.OK, CacheStatus.HIT, 100 * MS, new double[] {
            1, 0.5, linkUtilization
        });
        int sentBefore = reportingHost.sent.size();
        for (int i = 10; i < 30; i++) {
            reportingHost.request(i);
        }
        return reportingHost.sent.subList(sentBefore, reportingHost.sent.size()).stream()
                .filter(attempt -> attempt.plan().server().equals(attempt.plan().source()))
                .count();
    }

    private static long lookupsAfterFillsOf(double sizeKb) {
        RouterFixture reportingHost = new RouterFixture().withUsualEndpoints();
        for (int i = 0; i < 30; i++) {
            reportingHost.endAttempt(
                    reportingHost.request("video", i, 0, 4 * SEC, 0),
                    AttemptStatus.OK,
                    CacheStatus.FILLED,
                    1200 * MS,
                    null,
                    sizeKb);
        }
        for (int i = 100; i < 120; i++) {
            reportingHost.request(i);
        }
        return reportingHost.sent.stream()
                .filter(attempt -> attempt.plan().server().equals(attempt.plan().source()))
                .count();
    }

    private static RouterFixture hostWithLoadReports() {
        return new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        6,
                        List.of("concurrent", "x0", "x1")))
                .withUsualEndpoints();
    }

    /** Guards against rejections for seconds after an overload, because the limit shrank below the cache's capacity. */
    @Test
    void limitShrinksNoFurtherThanTheKnownCapacity() {
        RouterFixture reportingHost = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        2,
                        List.of("concurrent", "x0", "x1")))
                .withUsualEndpoints();
        for (int i = 0; i < 200; i++) {
            reportingHost.endAttempt(
                    reportingHost.request(i), AttemptStatus.OK, CacheStatus.HIT, 2 * SEC, new double[] {20, 0.5, 0.5});
        }
        int sentBefore = reportingHost.sent.size();
        for (int i = 1000; i < 1100; i++) {
            reportingHost.request(i);
        }
        assertTrue(
                reportingHost.sent.size() - sentBefore >= 16,
                "sent " + (reportingHost.sent.size() - sentBefore) + " attempts, expected at least 16");
    }

    @Test
    void writesAreNotSubjectToTheLimitOfFills() {
        for (int i = 0; i < 80; i++) {
            host.request("note", i, 0, 3 * SEC);
        }
        assertEquals(80, host.sent.size());
    }
}

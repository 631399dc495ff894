package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how load reports show spare capacity. */
class LoadReportsTest {
    /** Guards against rejections by limits that grow too slowly when clients of stopped proxies move to this one. */
    @Test
    void reportedSpareCapacityOverridesALimitThatLags() {
        assertTrue(attemptsSentInABurstAfterAReportOf(2) >= 40);
        assertTrue(attemptsSentInABurstAfterAReportOf(70) < 25);
    }

    /** Guards against rejections if reports contain only the share in use, and not requests in flight or link use. */
    @Test
    void shareUsedShowsSpareCapacityIfRequestsInFlightAreNotReported() {
        assertTrue(attemptsSentInABurstAfterAReportOf(0.1, "load_share") >= 40);
        assertTrue(attemptsSentInABurstAfterAReportOf(0.97, "load_share") < 25);
    }

    /** Late fills at an overloaded cache say nothing about the zone's link, so fills by other caches may go on. */
    @Test
    void lateFillsAtAFullCacheDoNotShrinkTheLimitOfFills() {
        assertEquals(0, lookupsAfterLateFills("load_share", 0.97));
        assertTrue(lookupsAfterLateFills("load_share", 0.4) > 0);
    }

    private static long lookupsAfterLateFills(String field, double shareUsed) {
        RouterFixture reportingHost = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        2,
                        List.of(field, "x0")))
                .withUsualEndpoints();
        for (int i = 0; i < 30; i++) {
            reportingHost.endAttempt(
                    reportingHost.request(i), AttemptStatus.OK, CacheStatus.FILLED, 2 * SEC, new double[] {
                        shareUsed, 0.5
                    });
        }
        int sentBefore = reportingHost.sent.size();
        for (int i = 100; i < 106; i++) {
            reportingHost.request(i);
        }
        return reportingHost.sent.subList(sentBefore, reportingHost.sent.size()).stream()
                .filter(attempt -> attempt.plan().server().equals(attempt.plan().source()))
                .count();
    }

    private static int attemptsSentInABurstAfterAReportOf(double reportedValue) {
        return attemptsSentInABurstAfterAReportOf(reportedValue, "concurrent");
    }

    private static int attemptsSentInABurstAfterAReportOf(double reportedValue, String field) {
        RouterFixture reportingHost = new RouterFixture(RouterFixture.settings(
                WeightMeaning.ROUGH,
                CacheStatusDetail.ALL,
                RouterFixture.permissions(),
                2,
                List.of(field, "x0", "x1")));
        reportingHost.router.endpointsChanged(
                reportingHost.now, true, List.of(new EndpointInfo("a", "office", "box", 0, EndpointState.UP, 60, 0)));
        reportingHost.endAttempt(reportingHost.request(1), AttemptStatus.OK, CacheStatus.HIT, 100 * MS, new double[] {
            reportedValue, 0.5, 0.5
        });
        int sentBefore = reportingHost.sent.size();
        for (int i = 0; i < 50; i++) {
            reportingHost.request(i);
        }
        return reportingHost.sent.size() - sentBefore;
    }
}

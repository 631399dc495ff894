package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.S;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Which cache is asked: rendezvous order, hot objects, reports of room. */
class CacheSelectorTest {
    private final RouterFixture host = new RouterFixture().usual();

    @Test
    void hotObjectIsWidened() {
        Set<String> servers = new TreeSet<>();
        for (int i = 0; i < 40; i++) {
            host.ask(1);
            servers.add(host.last().server());
        }
        assertTrue(servers.size() >= 2 && servers.size() <= 3, servers.toString());
    }

    /** Requests of a crowded cache were refused while its neighbours stood half empty. */
    @Test
    void crowdedCachePassesRequestsOnToOneThatReportsRoomOnly() {
        assertTrue(serversOfACrowdedCachesObjects(new double[] {1, 0.5, 0.5}).size() > 1);
        assertEquals(
                1, serversOfACrowdedCachesObjects(new double[] {30, 0.5, 0.5}).size());
    }

    /** When other gateways stop, their clients come here, and limits that lag refused what the caches had room for. */
    @Test
    void reportOfRoomCountsMoreThanALimitThatLags() {
        assertTrue(sentAtOnceAfterAReportOf(2) >= 40);
        assertTrue(sentAtOnceAfterAReportOf(70) < 25);
    }

    /** Sites that tell the share used, and neither requests in hand nor the link, refused what their caches fit. */
    @Test
    void shareUsedTellsOfRoomWhereRequestsInHandAreNotTold() {
        assertTrue(sentAtOnceAfterAReportOf(0.1, "load_share") >= 40);
        assertTrue(sentAtOnceAfterAReportOf(0.97, "load_share") < 25);
    }

    /** Late fills at a cache that is full say nothing of the link: others may still fill. */
    @Test
    void lateFillsAtAFullCacheLeaveTheLinksLimitAlone() {
        assertEquals(0, looksAfterLateFills("load_share", 0.97));
        assertTrue(looksAfterLateFills("load_share", 0.4) > 0);
    }

    /** A limit that a jam had sunk under what its cache fits refused a tenth for ten seconds after the jam. */
    @Test
    void limitSinksNoFurtherThanWhatTheCacheFits() {
        RouterFixture told = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        2,
                        List.of("concurrent", "x0", "x1")))
                .usual();
        for (int i = 0; i < 200; i++) {
            told.end(told.ask(i), AttemptStatus.OK, CacheStatus.HIT, 2 * S, new double[] {20, 0.5, 0.5});
        }
        int before = told.sent.size();
        for (int i = 1000; i < 1100; i++) {
            told.ask(i);
        }
        assertTrue(told.sent.size() - before >= 16, "let out " + (told.sent.size() - before));
    }

    private static Set<String> serversOfACrowdedCachesObjects(double[] report) {
        RouterFixture told = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        2,
                        List.of("concurrent", "x0", "x1")))
                .usual();
        List<Integer> objects = new java.util.ArrayList<>();
        for (int i = 0; i < 400; i++) {
            String id = told.ask(i);
            if (told.last().server().equals("a")) {
                objects.add(i);
            }
            told.end(id, AttemptStatus.OK, CacheStatus.HIT, 100 * MS, report);
        }
        int before = told.sent.size();
        objects.forEach(told::ask);
        Set<String> servers = new TreeSet<>();
        told.sent
                .subList(before, told.sent.size())
                .forEach(s -> servers.add(s.order().server()));
        return servers;
    }

    private static long looksAfterLateFills(String field, double used) {
        RouterFixture told = new RouterFixture(RouterFixture.settings(
                        WeightMeaning.ROUGH,
                        CacheStatusDetail.ALL,
                        RouterFixture.permissions(),
                        2,
                        List.of(field, "x0")))
                .usual();
        for (int i = 0; i < 30; i++) {
            told.end(told.ask(i), AttemptStatus.OK, CacheStatus.FILLED, 2 * S, new double[] {used, 0.5});
        }
        int before = told.sent.size();
        for (int i = 100; i < 106; i++) {
            told.ask(i);
        }
        return told.sent.subList(before, told.sent.size()).stream()
                .filter(s -> s.order().server().equals(s.order().source()))
                .count();
    }

    private static int sentAtOnceAfterAReportOf(double inHand) {
        return sentAtOnceAfterAReportOf(inHand, "concurrent");
    }

    private static int sentAtOnceAfterAReportOf(double inHand, String field) {
        RouterFixture told = new RouterFixture(RouterFixture.settings(
                WeightMeaning.ROUGH,
                CacheStatusDetail.ALL,
                RouterFixture.permissions(),
                2,
                List.of(field, "x0", "x1")));
        told.router.endpointsChanged(
                told.now, true, List.of(new EndpointInfo("a", "office", "box", 0, EndpointState.UP, 60, 0)));
        told.end(told.ask(1), AttemptStatus.OK, CacheStatus.HIT, 100 * MS, new double[] {inHand, 0.5, 0.5});
        int before = told.sent.size();
        for (int i = 0; i < 50; i++) {
            told.ask(i);
        }
        return told.sent.size() - before;
    }
}

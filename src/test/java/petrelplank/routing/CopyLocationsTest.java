package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.cache;

import org.junit.jupiter.api.Test;

/** Tests which cache is known to hold an object. */
class CopyLocationsTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void restartedCacheHoldsNoCopies() {
        String id = host.request(1);
        String holder = host.lastPlan().server();
        host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        host.now += MS;
        host.changeEndpoints(cache(holder, host.now));
        for (int i = 0; i < 20; i++) {
            host.request(1);
            assertNotEquals(
                    holder,
                    host.lastPlan().server().equals(holder)
                            ? ""
                            : host.lastPlan().source());
        }
    }
}

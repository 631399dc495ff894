package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.cache;

import org.junit.jupiter.api.Test;

/** Which cache is known to hold an object. */
class CopyLocationsTest {
    private final RouterFixture host = new RouterFixture().usual();

    @Test
    void restartedCacheIsNoHolderOfWhatItHadBefore() {
        String id = host.ask(1);
        String holder = host.last().server();
        host.end(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        host.now += MS;
        host.change(cache(holder, host.now));
        for (int i = 0; i < 20; i++) {
            host.ask(1);
            assertNotEquals(
                    holder,
                    host.last().server().equals(holder) ? "" : host.last().source());
        }
    }
}

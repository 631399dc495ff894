package petrelplank.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConnectionLimitsTest {
    /** All proxies of a zone together keep at most 32 connections to a server, or one each if there are more. */
    @Test
    void connectionsOfAllProxiesToOneServerAreBounded() {
        int previous = 9;
        for (int proxies = 1; proxies <= 1000; proxies++) {
            int perProxy = ConnectionLimits.maxPerServer(proxies);
            assertTrue(perProxy >= 1 && perProxy <= previous, proxies + " proxies, connections of each: " + perProxy);
            assertTrue(
                    perProxy * proxies <= Math.max(32, proxies),
                    proxies + " proxies, connections of each: " + perProxy);
            previous = perProxy;
        }
        assertEquals(8, ConnectionLimits.maxPerServer(1));
    }
}

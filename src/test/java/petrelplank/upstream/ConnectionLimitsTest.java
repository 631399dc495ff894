package petrelplank.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConnectionLimitsTest {
    /** However many proxies a zone gets, the connections that they keep to one server are bounded: 32, or one each. */
    @Test
    void connectionsOfAllProxiesToOneServerAreBounded() {
        int previous = 9;
        for (int proxies = 1; proxies <= 1000; proxies++) {
            int each = ConnectionLimits.maxPerServer(proxies);
            assertTrue(each >= 1 && each <= previous, "proxies " + proxies + " keep " + each);
            assertTrue(each * proxies <= Math.max(32, proxies), "proxies " + proxies + " keep " + each);
            previous = each;
        }
        assertEquals(8, ConnectionLimits.maxPerServer(1));
    }
}

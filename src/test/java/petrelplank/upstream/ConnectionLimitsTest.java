package petrelplank.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConnectionLimitsTest {
    /** However many fronts a branch gets, what they keep at one server has a bound: 32, or one each. */
    @Test
    void connectionsOfAllFrontsAtOneServerAreBounded() {
        int before = 9;
        for (int fronts = 1; fronts <= 1000; fronts++) {
            int each = ConnectionLimits.perServer(fronts);
            assertTrue(each >= 1 && each <= before, "fronts " + fronts + " keep " + each);
            assertTrue(each * fronts <= Math.max(32, fronts), "fronts " + fronts + " keep " + each);
            before = each;
        }
        assertEquals(8, ConnectionLimits.perServer(1));
    }
}

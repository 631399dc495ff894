package petrelplank.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/**
 * Guards against a regression of the routing under incidents of a fleet with 15 proxies, or 48 in one
 * case, and 60 caches. Each bound lies between what the version that introduced it earned and what the version before
 * it earned.
 */
class FleetIncidentsTest {
    private static void assertEarnedShareAtLeast(String scenario, int proxiesPerZone, double minimumShare)
            throws IOException {
        FleetIncidents.Result result = FleetIncidents.run(scenario, proxiesPerZone, 1);
        assertEquals(0, result.violations(), scenario);
        assertTrue(result.earnedShare() >= minimumShare, scenario + " earned " + result.earnedShare());
    }

    @Test
    void hubZoneIsLostWhileAllCopiesArePurgedAndTheOriginIsSlow() throws IOException {
        assertEarnedShareAtLeast("fleet-zone", 5, 0.82);
        assertEarnedShareAtLeast("fleet-zone", 16, 0.79);
    }

    @Test
    void mostCachesAreReplacedWhileAllCopiesArePurged() throws IOException {
        assertEarnedShareAtLeast("fleet-join", 5, 0.96);
    }

    @Test
    void cachesAreReplacedWhileDiscoveryIsLateAndThenDeliversInOneBurst() throws IOException {
        assertEarnedShareAtLeast("fleet-list", 5, 0.9995);
    }
}

package petrelplank.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/**
 * Guards against a regression of the routing under incidents of a fleet with 15 proxies and 60 caches. Each bound lies
 * between what the version that introduced it earned and what the version before it earned.
 */
class FleetIncidentsTest {
    private static void earnsAtLeast(String scenario, int proxiesPerZone, double minimum) throws IOException {
        FleetIncidents.Result result = FleetIncidents.play(scenario, proxiesPerZone, 1);
        assertEquals(0, result.violations(), scenario);
        assertTrue(result.earned() >= minimum, scenario + " earned " + result.earned());
    }

    @Test
    void hubZoneIsLostWhileAllCopiesArePurgedAndTheOriginIsSlow() throws IOException {
        earnsAtLeast("fleet-zone", 5, 0.82);
        earnsAtLeast("fleet-zone", 16, 0.79);
    }

    @Test
    void mostCachesAreReplacedWhileAllCopiesArePurged() throws IOException {
        earnsAtLeast("fleet-join", 5, 0.96);
    }

    @Test
    void cachesAreReplacedWhileDiscoveryIsLateAndThenDeliversInOneBurst() throws IOException {
        earnsAtLeast("fleet-list", 5, 0.9995);
    }
}

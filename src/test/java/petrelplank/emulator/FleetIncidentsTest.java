package petrelplank.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Incidents at 15 fronts and 60 cache nodes; the bounds lie between what this program and the one before earned. */
class FleetIncidentsTest {
    private static void holds(String name, int frontsPerBranch, double least) throws IOException {
        FleetIncidents.Day day = FleetIncidents.play(name, frontsPerBranch, 1);
        assertEquals(0, day.unanswered() + day.late() + day.twice(), name);
        assertTrue(day.earned() >= least, name + " earned " + day.earned());
    }

    @Test
    void zoneThatVanishesWhileAllCopiesAreVoidAndTheStockSlow() throws IOException {
        holds("fleet-zone", 5, 0.82);
        holds("fleet-zone", 16, 0.79);
    }

    @Test
    void sixInTenCachesReplacedWhileAllCopiesAreVoid() throws IOException {
        holds("fleet-join", 5, 0.96);
    }

    @Test
    void releaseToldLateAndInOneBurst() throws IOException {
        holds("fleet-list", 5, 0.9995);
    }
}

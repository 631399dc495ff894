package petrelplank.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import petrelplank.routing.EndpointState;

/** The fleet at a time is what proxies were notified of and believed. */
class FleetSnapshotTest {
    private static final long START_US = 1_764_576_000_000_000L;

    private static IncidentTimeline timeline(String scenario) throws IOException {
        return Emulated.course(Emulated.of(scenario, 1).entries());
    }

    private static FleetSnapshot.EndpointStatus status(
            IncidentTimeline timeline, List<Finding> findings, long offsetUs, String endpoint) {
        return FleetSnapshot.at(timeline, findings, START_US + offsetUs).get(endpoint);
    }

    /** A cache that is listed as up but that answers nothing is silent then, and not before or after. */
    @Test
    void silentEndpointIsEjectedAndNamedOnlyDuringItsFault() throws IOException {
        IncidentTimeline timeline = timeline("silent-hub");
        List<Finding> findings = Diagnosis.of(timeline);
        FleetSnapshot.EndpointStatus during = status(timeline, findings, 18_000_000, "hub-box-1.hub2");
        assertEquals(Map.of(EndpointState.UP, 6), during.proxiesByState());
        assertEquals(List.of(Finding.Kind.SILENT_HUB), during.faults());
        assertFalse(during.ejectedBy().isEmpty());
        for (long offsetUs : new long[] {6_000_000, 34_000_000}) {
            FleetSnapshot.EndpointStatus healthy = status(timeline, findings, offsetUs, "hub-box-1.hub2");
            assertEquals(List.of(), healthy.faults());
            assertEquals(List.of(), healthy.ejectedBy());
        }
    }

    @Test
    void drainingEndpointHasTheStateThatProxiesWereNotifiedOf() throws IOException {
        IncidentTimeline timeline = timeline("drain");
        EndpointState[] states = {EndpointState.UP, EndpointState.DRAINING, EndpointState.REMOVED};
        long[] offsetsUs = {14_000_000, 17_000_000, 22_000_000};
        for (int i = 0; i < states.length; i++) {
            assertEquals(
                    Map.of(states[i], 6),
                    status(timeline, List.of(), offsetsUs[i], "box-1.branch3").proxiesByState());
        }
    }

    @Test
    void proxiesThatAreDownAreNotCounted() throws IOException {
        assertEquals(
                Map.of(EndpointState.UP, 4),
                status(timeline("restart"), List.of(), 17_000_000, "box-1.branch3")
                        .proxiesByState());
    }
}

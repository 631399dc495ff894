package petrelplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static petrelplank.routing.RouterFixture.MS;
import static petrelplank.routing.RouterFixture.SEC;
import static petrelplank.routing.RouterFixture.cache;
import static petrelplank.routing.RouterFixture.parent;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests which endpoints are used after changes of the endpoint list. */
class EndpointRegistryTest {
    private final RouterFixture host = new RouterFixture().withUsualEndpoints();

    @Test
    void drainingAndRemovedEndpointsGetNoAttemptsAndAreNeverTheSource() {
        host.requestAndFill(0, 50);
        host.changeEndpoints(
                new EndpointInfo("a", "office", "box", 0, EndpointState.DRAINING, 5, 0),
                new EndpointInfo("b", "office", "box", 0, EndpointState.REMOVED, 5, 0));
        for (AttemptPlan plan : host.requestAndFill(0, 100)) {
            assertFalse(
                    Set.of("a", "b").contains(plan.server()) || Set.of("a", "b").contains(plan.source()));
        }
    }

    @Test
    void emptyListRejectsAtOnce() {
        RouterFixture hostWithoutEndpoints = new RouterFixture();
        hostWithoutEndpoints.router.endpointsChanged(hostWithoutEndpoints.now, true, List.of());
        String id = hostWithoutEndpoints.request(1);
        assertEquals(List.of(id), hostWithoutEndpoints.rejected);
    }

    @Test
    void cacheMissingFromACompleteListIsNotUsed() {
        host.requestAndFill(0, 60);
        host.router.endpointsChanged(
                host.now, true, List.of(cache("b", 0), cache("c", 0), parent("p-north", "north", 0)));
        for (AttemptPlan plan : host.requestAndFill(0, 60)) {
            assertFalse(
                    Set.of("a", "d").contains(plan.server()) || Set.of("a", "d").contains(plan.source()));
        }
    }

    /** Repeated ids, unknown ids and an endpoint that is removed and listed again must not affect other endpoints. */
    @Test
    void listsWithRepeatedAndUnknownIdsAreAccepted() {
        host.changeEndpoints(
                cache("a", 0),
                cache("a", 0),
                new EndpointInfo("unknown", "office", "box", 0, EndpointState.REMOVED, 5, 0));
        host.changeEndpoints(new EndpointInfo("b", "office", "box", 0, EndpointState.REMOVED, 5, 0));
        String id = host.request(1);
        host.changeEndpoints(
                new EndpointInfo("b", "office", "box", 0, EndpointState.REMOVED, 5, 0), cache("b", host.now));
        host.endAttempt(id, AttemptStatus.OK, CacheStatus.FILLED, 110 * MS);
        Set<String> servers = new TreeSet<>();
        host.now += 20 * SEC;
        host.requestAndFill(0, 200).forEach(plan -> servers.add(plan.server()));
        assertEquals(Set.of("a", "b", "c", "d"), servers);
    }
}

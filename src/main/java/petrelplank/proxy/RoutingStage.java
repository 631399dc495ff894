package petrelplank.proxy;

import java.util.Set;
import java.util.stream.Collectors;
import petrelplank.routing.Router;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.RoutingRequest;
import petrelplank.routing.ServiceClass;

/** Stage 3: asks the router, which answers by its actions before this returns. */
final class RoutingStage {
    private final EventLoop loop;
    private final Set<String> writes;
    private Router router;

    RoutingStage(EventLoop loop, RouterSettings settings) {
        this.loop = loop;
        this.writes = settings.classes().stream()
                .filter(ServiceClass::write)
                .map(ServiceClass::name)
                .collect(Collectors.toSet());
    }

    void router(Router chosen) {
        router = chosen;
    }

    void route(Exchange exchange) {
        ClientRequest asked = exchange.asked;
        router.requestReceived(
                loop.now(),
                new RoutingRequest(
                        asked.id(),
                        exchange.object,
                        asked.part(),
                        asked.group(),
                        asked.serviceClass(),
                        exchange.deadlineUs,
                        asked.sizeKb(),
                        writes.contains(asked.serviceClass()),
                        false,
                        asked.tenant()));
    }
}

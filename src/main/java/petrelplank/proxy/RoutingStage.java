package petrelplank.proxy;

import java.util.Set;
import java.util.stream.Collectors;
import petrelplank.routing.Router;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.RoutingRequest;
import petrelplank.routing.ServiceClass;

/** Stage 3: passes requests to the router. The router calls its actions for a request before {@link #route} returns. */
final class RoutingStage {
    /** Requests of clients do not say whether they are retries. */
    private static final boolean MARKED_AS_RETRY = false;

    private final EventLoop loop;
    private final Router router;
    /** Names of the service classes for writes, which run at the origin. */
    private final Set<String> writeClasses;

    RoutingStage(EventLoop loop, RouterSettings settings, Router router) {
        this.loop = loop;
        this.router = router;
        this.writeClasses = settings.classes().stream()
                .filter(ServiceClass::write)
                .map(ServiceClass::name)
                .collect(Collectors.toSet());
    }

    void route(Exchange exchange) {
        ClientRequest request = exchange.request;
        router.requestReceived(
                loop.nowUs(),
                new RoutingRequest(
                        request.id(),
                        exchange.objectId,
                        request.part(),
                        request.group(),
                        request.serviceClass(),
                        exchange.deadlineUs,
                        request.sizeKb(),
                        writeClasses.contains(request.serviceClass()),
                        MARKED_AS_RETRY,
                        request.tenant()));
    }
}

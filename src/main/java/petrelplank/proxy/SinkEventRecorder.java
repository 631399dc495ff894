package petrelplank.proxy;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import petrelplank.record.Event;
import petrelplank.record.EventSink;
import petrelplank.record.ListedEndpoint;
import petrelplank.record.ResponseKind;
import petrelplank.record.ServiceClassInfo;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.ServiceClass;
import petrelplank.routing.TerminationReason;

/** Creates events and passes them to a sink. Event thread only. */
final class SinkEventRecorder implements EventRecorder {
    private static final long HEARTBEAT_US = 1_000_000;
    private static final int NO_GROUP = -1;

    private final EventLoop loop;
    private final EventSink sink;
    private final Map<String, ServiceClass> classes;
    private final double flowKbPerSecond;
    private String terminatedRequest;
    private TerminationReason terminationReason;

    SinkEventRecorder(EventLoop loop, RouterSettings settings, EventSink sink) {
        this.loop = loop;
        this.sink = sink;
        this.classes = settings.classes().stream().collect(Collectors.toMap(ServiceClass::name, Function.identity()));
        this.flowKbPerSecond = settings.flowKbPerSecond();
        record(proxyStarted(settings));
    }

    private static Event.ProxyStarted proxyStarted(RouterSettings settings) {
        return new Event.ProxyStarted(
                settings.zone(),
                settings.zones(),
                settings.classes().stream()
                        .map(type -> new ServiceClassInfo(
                                type.name(),
                                type.priorityWeight(),
                                type.deadlineUs(),
                                type.idempotency(),
                                type.write()))
                        .toList(),
                settings.parentKind(),
                settings.originKind(),
                settings.reportFields(),
                settings.rules().drainGraceUs(),
                settings.rules().purgeGraceUs(),
                settings.connectTimeoutUs());
    }

    private void record(Event event) {
        sink.record(loop.now(), event);
    }

    @Override
    public void requestAdmitted(Exchange exchange) {
        ClientRequest request = exchange.request;
        record(new Event.RequestAdmitted(exchange.requestId, request.serviceClass(), exchange.object, request.group()));
    }

    @Override
    public void requestRejected(ClientRequest request, ClientResponse.Kind kind) {
        String knownClass = classes.containsKey(request.serviceClass()) ? request.serviceClass() : "";
        record(new Event.RequestRejected(request.id(), knownClass, recorded(kind)));
    }

    private static ResponseKind recorded(ClientResponse.Kind kind) {
        return switch (kind) {
            case SERVED -> ResponseKind.SERVED;
            case NOT_MODIFIED -> ResponseKind.NOT_MODIFIED;
            case REJECTED -> ResponseKind.REJECTED;
            case FAILED -> ResponseKind.FAILED;
            case BAD_REQUEST -> ResponseKind.BAD_REQUEST;
        };
    }

    @Override
    public void attemptSent(Attempt attempt) {
        Exchange exchange = attempt.exchange;
        UpstreamRequest request = attempt.request();
        record(new Event.AttemptSent(
                exchange.requestId,
                attempt.number,
                request.serviceClass(),
                attempt.server(),
                request.source(),
                exchange.object,
                exchange.request.group()));
    }

    @Override
    public void attemptEnded(Attempt attempt, UpstreamResponse response, long latencyUs) {
        Exchange exchange = attempt.exchange;
        UpstreamRequest request = attempt.request();
        record(new Event.AttemptEnded(
                exchange.requestId,
                attempt.number,
                request.serviceClass(),
                attempt.server(),
                request.source(),
                exchange.object,
                exchange.request.group(),
                response.status(),
                response.cacheStatus(),
                latencyUs,
                response.sourceWaitUs(),
                response.bornMs(),
                response.body().length,
                boxed(response.load())));
    }

    private static List<Double> boxed(double[] load) {
        if (load == null) {
            return List.of();
        }
        Double[] values = new Double[load.length];
        for (int i = 0; i < load.length; i++) {
            values[i] = load[i];
        }
        return List.of(values);
    }

    @Override
    public void requestTerminated(String request, TerminationReason reason) {
        terminatedRequest = request;
        terminationReason = reason;
    }

    @Override
    public void requestCompleted(Exchange exchange, ClientResponse response) {
        ClientRequest request = exchange.request;
        ServiceClass type = classes.get(request.serviceClass());
        int bytes = response.body().length;
        long latencyUs = loop.now() - exchange.arrivedUs;
        boolean served =
                response.kind() == ClientResponse.Kind.SERVED || response.kind() == ClientResponse.Kind.NOT_MODIFIED;
        boolean inTime = served && latencyUs <= latencyObjectiveUs(type, bytes);
        boolean terminatedByRouter = !served && request.id().equals(terminatedRequest);
        record(new Event.RequestCompleted(
                exchange.requestId,
                request.serviceClass(),
                recorded(response.kind()),
                latencyUs,
                bytes,
                served ? earnedWeight(type, inTime, exchange.servedFrom) : 0,
                inTime,
                response.retryAfterMs(),
                terminatedByRouter ? terminationReason : null));
    }

    private static double earnedWeight(ServiceClass type, boolean inTime, CacheStatus servedFrom) {
        return type.priorityWeight()
                * (inTime ? 1 : type.lateWeightFactor())
                * (servedFrom == CacheStatus.STALE ? type.staleWeightFactor() : 1);
    }

    /**
     * The latency within which a response earns its full weight: the latency objective of the service class, extended
     * for the transfer time of the response and limited by the deadline.
     */
    private double latencyObjectiveUs(ServiceClass type, int bytes) {
        double transferUs = flowKbPerSecond > 0 ? bytes / 1024.0 / flowKbPerSecond * 1e6 : 0;
        return Math.min(type.deadlineUs(), type.latencyObjectiveUs() + type.objectiveSizeFactor() * transferUs);
    }

    @Override
    public void clientDisconnected(Exchange exchange) {
        record(new Event.ClientDisconnected(exchange.requestId));
    }

    @Override
    public void discoveryEvent(DiscoveryEvent event) {
        if (event instanceof DiscoveryEvent.Purge purge) {
            boolean wholeGroup = purge.object() == null;
            record(new Event.Purged(
                    purge.index(), purge.object(), wholeGroup ? purge.group() : NO_GROUP, purge.unixMs()));
        } else if (event instanceof DiscoveryEvent.Change change) {
            record(new Event.EndpointsChanged(
                    change.index(),
                    change.complete(),
                    change.entries().stream()
                            .map(entry -> listed(entry.endpoint()))
                            .toList()));
        }
    }

    private static ListedEndpoint listed(EndpointInfo endpoint) {
        return new ListedEndpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.state(),
                endpoint.weight(),
                endpoint.startedUs());
    }

    @Override
    public void endpointEjected(String server, boolean healthCheckFailed, long pauseUs) {
        record(new Event.EndpointEjected(server, healthCheckFailed, pauseUs));
    }

    @Override
    public void endpointRecovered(String server) {
        record(new Event.EndpointRecovered(server));
    }

    @Override
    public void heartbeat(OpenRequests openRequests) {
        record(new Event.Heartbeat(openRequests.size(), loop.size(), sink.heapBytes(), loop.takeMaxTimerDelayUs()));
        loop.at(loop.now() + HEARTBEAT_US, () -> heartbeat(openRequests));
    }

    @Override
    public void drainStarted(long answerAllUs) {
        record(new Event.DrainStarted(answerAllUs));
    }

    @Override
    public void proxyStopped() {
        record(new Event.ProxyStopped());
    }
}

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
    private static final long HEARTBEAT_INTERVAL_US = 1_000_000;
    private static final int NO_GROUP = -1;

    private final EventLoop loop;
    private final EventSink sink;
    private final Map<String, ServiceClass> classesByName;
    private final double maxResponseKbPerSecond;
    private String terminatedRequestId;
    private TerminationReason terminationReason;

    SinkEventRecorder(EventLoop loop, RouterSettings settings, EventSink sink) {
        this.loop = loop;
        this.sink = sink;
        this.classesByName =
                settings.classes().stream().collect(Collectors.toMap(ServiceClass::name, Function.identity()));
        this.maxResponseKbPerSecond = settings.maxResponseKbPerSecond();
        record(proxyStarted(settings));
    }

    private static Event.ProxyStarted proxyStarted(RouterSettings settings) {
        return new Event.ProxyStarted(
                settings.zone(),
                settings.zones(),
                settings.classes().stream()
                        .map(serviceClass -> new ServiceClassInfo(
                                serviceClass.name(),
                                serviceClass.priorityWeight(),
                                serviceClass.deadlineUs(),
                                serviceClass.idempotency(),
                                serviceClass.write()))
                        .toList(),
                settings.parentKind(),
                settings.originKind(),
                settings.reportFields(),
                settings.rules().drainGraceUs(),
                settings.rules().purgeGraceUs(),
                settings.connectTimeoutUs());
    }

    private void record(Event event) {
        sink.record(loop.nowUs(), event);
    }

    @Override
    public void requestAdmitted(Exchange exchange) {
        ClientRequest request = exchange.request;
        record(new Event.RequestAdmitted(
                exchange.requestId, request.serviceClass(), exchange.objectId, request.group()));
    }

    @Override
    public void requestRejected(ClientRequest request, ClientResponse.Kind kind) {
        String knownClass = classesByName.containsKey(request.serviceClass()) ? request.serviceClass() : "";
        record(new Event.RequestRejected(request.id(), knownClass, recordedKind(kind)));
    }

    private static ResponseKind recordedKind(ClientResponse.Kind kind) {
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
                request.fillSource(),
                exchange.objectId,
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
                request.fillSource(),
                exchange.objectId,
                exchange.request.group(),
                response.status(),
                response.cacheStatus(),
                latencyUs,
                response.sourceWaitUs(),
                response.originSentMs(),
                response.bodyLength(),
                loadValues(response.load())));
    }

    private static List<Double> loadValues(double[] load) {
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
    public void requestTerminated(String requestId, TerminationReason reason) {
        terminatedRequestId = requestId;
        terminationReason = reason;
    }

    @Override
    public void requestCompleted(Exchange exchange, ClientResponse response) {
        ClientRequest request = exchange.request;
        ServiceClass serviceClass = classesByName.get(request.serviceClass());
        int bytes = response.body().length;
        long latencyUs = loop.nowUs() - exchange.arrivedUs;
        boolean served =
                response.kind() == ClientResponse.Kind.SERVED || response.kind() == ClientResponse.Kind.NOT_MODIFIED;
        boolean withinObjective = served && latencyUs <= latencyObjectiveUs(serviceClass, bytes);
        boolean terminatedByRouter = !served && request.id().equals(terminatedRequestId);
        record(new Event.RequestCompleted(
                exchange.requestId,
                request.serviceClass(),
                recordedKind(response.kind()),
                latencyUs,
                bytes,
                served ? earnedWeight(serviceClass, withinObjective, exchange.servedCacheStatus) : 0,
                withinObjective,
                response.retryAfterMs(),
                terminatedByRouter ? terminationReason : null));
    }

    private static double earnedWeight(ServiceClass serviceClass, boolean withinObjective, CacheStatus cacheStatus) {
        return serviceClass.priorityWeight()
                * (withinObjective ? 1 : serviceClass.lateWeightFactor())
                * (cacheStatus == CacheStatus.STALE ? serviceClass.staleWeightFactor() : 1);
    }

    /**
     * The latency within which a response earns its full weight: the latency objective of the service class, extended
     * for the transfer time of the response and limited by the deadline.
     */
    private double latencyObjectiveUs(ServiceClass serviceClass, int bytes) {
        double transferUs = maxResponseKbPerSecond > 0 ? bytes / 1024.0 / maxResponseKbPerSecond * 1e6 : 0;
        return Math.min(
                serviceClass.deadlineUs(),
                serviceClass.latencyObjectiveUs() + serviceClass.objectiveSizeFactor() * transferUs);
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
        } else if (event instanceof DiscoveryEvent.EndpointChange change) {
            record(new Event.EndpointsChanged(
                    change.index(),
                    change.complete(),
                    change.entries().stream()
                            .map(entry -> listedEndpoint(entry.endpoint()))
                            .toList()));
        }
    }

    private static ListedEndpoint listedEndpoint(EndpointInfo endpoint) {
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
        record(new Event.Heartbeat(
                openRequests.size(), loop.queuedTaskCount(), sink.heapBytes(), loop.takeMaxTimerDelayUs()));
        loop.schedule(loop.nowUs() + HEARTBEAT_INTERVAL_US, () -> heartbeat(openRequests));
    }

    @Override
    public void drainStarted(long completionDeadlineUs) {
        record(new Event.DrainStarted(completionDeadlineUs));
    }

    @Override
    public void proxyStopped() {
        record(new Event.ProxyStopped());
    }
}

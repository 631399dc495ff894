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

/** Makes events of what the stages do, where records are on; else does nothing. Event thread only. */
final class EventRecorder {
    private static final long PULSE_US = 1_000_000;

    private final EventLoop loop;
    /** Null where records are off. */
    private final EventSink sink;

    private final Map<String, ServiceClass> classes;
    private final double flowKbPerSecond;
    private String givenUp;
    private TerminationReason why;

    EventRecorder(EventLoop loop, RouterSettings settings, EventSink sink) {
        this.loop = loop;
        this.sink = sink;
        this.classes = settings.classes().stream().collect(Collectors.toMap(ServiceClass::name, Function.identity()));
        this.flowKbPerSecond = settings.flowKbPerSecond();
        if (sink != null) {
            record(new Event.ProxyStarted(
                    settings.zone(),
                    settings.zones(),
                    settings.classes().stream()
                            .map(c -> new ServiceClassInfo(
                                    c.name(), c.priorityWeight(), c.deadlineUs(), c.idempotency(), c.write()))
                            .toList(),
                    settings.parentKind(),
                    settings.originKind(),
                    settings.reportFields(),
                    settings.rules().drainGraceUs(),
                    settings.rules().purgeGraceUs(),
                    settings.connectTimeoutUs()));
        }
    }

    private void record(Event event) {
        sink.record(loop.now(), event);
    }

    private static ResponseKind kind(ClientResponse.Kind kind) {
        return switch (kind) {
            case SERVED -> ResponseKind.SERVED;
            case NOT_MODIFIED -> ResponseKind.NOT_MODIFIED;
            case REJECTED -> ResponseKind.REJECTED;
            case FAILED -> ResponseKind.FAILED;
            case BAD_REQUEST -> ResponseKind.BAD_REQUEST;
        };
    }

    void taken(Exchange e) {
        if (sink != null) {
            ClientRequest asked = e.asked;
            record(new Event.RequestAdmitted(e.id, asked.serviceClass(), e.object, asked.group()));
        }
    }

    void turnedAway(ClientRequest asked, ClientResponse.Kind told) {
        if (sink != null) {
            record(new Event.RequestRejected(
                    asked.id(), classes.containsKey(asked.serviceClass()) ? asked.serviceClass() : "", kind(told)));
        }
    }

    void sent(Attempt a) {
        if (sink != null) {
            UpstreamRequest f = a.request();
            record(new Event.AttemptSent(
                    a.exchange.id,
                    a.number,
                    f.serviceClass(),
                    a.server(),
                    f.source(),
                    a.exchange.object,
                    a.exchange.asked.group()));
        }
    }

    void ended(Attempt a, UpstreamResponse answer, long latencyUs) {
        if (sink != null) {
            UpstreamRequest f = a.request();
            record(new Event.AttemptEnded(
                    a.exchange.id,
                    a.number,
                    f.serviceClass(),
                    a.server(),
                    f.source(),
                    a.exchange.object,
                    a.exchange.asked.group(),
                    answer.status(),
                    answer.cacheStatus(),
                    latencyUs,
                    answer.sourceWaitUs(),
                    answer.bornMs(),
                    answer.body().length,
                    load(answer.load())));
        }
    }

    private static List<Double> load(double[] load) {
        if (load == null) {
            return List.of();
        }
        Double[] boxed = new Double[load.length];
        for (int i = 0; i < load.length; i++) {
            boxed[i] = load[i];
        }
        return List.of(boxed);
    }

    /** Why the router gives up the request that it answers next. */
    void terminated(String request, TerminationReason reason) {
        givenUp = request;
        why = reason;
    }

    void answered(Exchange e, ClientResponse answer) {
        if (sink != null) {
            ServiceClass type = classes.get(e.asked.serviceClass());
            long latencyUs = loop.now() - e.arrivedUs;
            boolean served =
                    answer.kind() == ClientResponse.Kind.SERVED || answer.kind() == ClientResponse.Kind.NOT_MODIFIED;
            boolean inTime = served && latencyUs <= latencyObjectiveUs(type, answer.body().length);
            double worth = !served
                    ? 0
                    : type.priorityWeight()
                            * (inTime ? 1 : type.lateWeightFactor())
                            * (e.served == CacheStatus.STALE ? type.staleWeightFactor() : 1);
            record(new Event.RequestCompleted(
                    e.id,
                    e.asked.serviceClass(),
                    kind(answer.kind()),
                    latencyUs,
                    answer.body().length,
                    worth,
                    inTime,
                    answer.retryAfterMs(),
                    served || !e.asked.id().equals(givenUp) ? null : why));
        }
    }

    /** An answer within this earns the whole worth: the class's aim, and more for its sending time. */
    private double latencyObjectiveUs(ServiceClass type, int bytes) {
        double sendingUs = flowKbPerSecond > 0 ? bytes / 1024.0 / flowKbPerSecond * 1e6 : 0;
        return Math.min(type.deadlineUs(), type.latencyObjectiveUs() + type.objectiveSizeFactor() * sendingUs);
    }

    void left(Exchange e) {
        if (sink != null) {
            record(new Event.ClientDisconnected(e.id));
        }
    }

    void told(DiscoveryEvent event) {
        if (sink == null) {
            return;
        }
        if (event instanceof DiscoveryEvent.Purge p) {
            record(new Event.Purged(p.index(), p.object(), p.object() != null ? -1 : p.group(), p.unixMs()));
        } else if (event instanceof DiscoveryEvent.Change c) {
            record(new Event.EndpointsChanged(
                    c.index(),
                    c.complete(),
                    c.entries().stream()
                            .map(entry -> {
                                EndpointInfo m = entry.member();
                                return new ListedEndpoint(
                                        m.id(), m.zone(), m.kind(), m.state(), m.weight(), m.startedUs());
                            })
                            .toList()));
        }
    }

    void ejected(String server, boolean trial, long pauseUs) {
        if (sink != null) {
            record(new Event.EndpointEjected(server, trial, pauseUs));
        }
    }

    void recovered(String server) {
        if (sink != null) {
            record(new Event.EndpointRecovered(server));
        }
    }

    /** Writes down how the front is, once a second from now on. */
    void pulse(AdmissionController admit) {
        if (sink != null) {
            record(new Event.Heartbeat(admit.size(), loop.size(), sink.heapBytes(), loop.latestLateUs()));
            loop.at(loop.now() + PULSE_US, () -> pulse(admit));
        }
    }

    void draining(long answerAllUs) {
        if (sink != null) {
            record(new Event.DrainStarted(answerAllUs));
        }
    }

    void finished() {
        if (sink != null) {
            record(new Event.ProxyStopped());
        }
    }
}

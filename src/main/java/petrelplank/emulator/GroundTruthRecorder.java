package petrelplank.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import petrelplank.proxy.Attempt;
import petrelplank.proxy.ClientResponse;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;
import petrelplank.routing.ServiceClass;

/**
 * Collects the {@link GroundTruth} while the emulation runs. It doesn't read the proxies' records and shares no code
 * with the analysis of them, so that tests can check the figures of the analysis against it independently.
 */
final class GroundTruthRecorder {
    private static final long SECOND_US = 1_000_000;

    /** Counters of the calls that reached the origin in one second. */
    private static final class OriginCounters {
        private long calls;
        private long failed;

        private GroundTruth.OriginCalls totals() {
            return new GroundTruth.OriginCalls(calls, failed);
        }
    }

    /** The state of one incarnation of a proxy; {@code end} is null while the process runs. */
    private static final class IncarnationState {
        private final String proxy;
        private final long startedUs;
        private long openRequests;
        private GroundTruth.Incarnation.End end;
        private long endedUs;

        IncarnationState(String proxy, long startedUs) {
            this.proxy = proxy;
            this.startedUs = startedUs;
        }

        private GroundTruth.Incarnation totals() {
            return new GroundTruth.Incarnation(proxy, startedUs, end, endedUs);
        }
    }

    private final Catalogue catalogue;
    private final RequestCounters total = new RequestCounters();
    private final Map<Long, RequestCounters> seconds = new TreeMap<>();
    private final Map<String, RequestCounters> classes = new TreeMap<>();
    private final Map<String, RequestCounters> zones = new TreeMap<>();
    private final Map<String, AttemptCounters> servers = new TreeMap<>();
    private final Map<Long, OriginCounters> origin = new TreeMap<>();
    private final NotificationLog notifications = new NotificationLog();
    private final Map<EmulatedProxy, IncarnationState> incarnations = new LinkedHashMap<>();
    private final List<GroundTruth.FaultPeriod> faults = new ArrayList<>();
    private final Map<String, Integer> executionsByWrite = new HashMap<>();
    private long lateSends;
    private long stalePurgedCopies;
    private long unanswered;

    GroundTruthRecorder(Catalogue catalogue) {
        this.catalogue = catalogue;
    }

    void proxyStarted(EmulatedProxy proxy) {
        incarnations.put(proxy, new IncarnationState(proxy.name(), proxy.clockUs()));
        notifications.proxyStarted(proxy);
    }

    void proxyFinished(EmulatedProxy proxy) {
        proxyEnded(proxy, GroundTruth.Incarnation.End.FINISHED);
    }

    void proxyKilled(EmulatedProxy proxy) {
        proxyEnded(proxy, GroundTruth.Incarnation.End.KILLED);
    }

    private void proxyEnded(EmulatedProxy proxy, GroundTruth.Incarnation.End end) {
        IncarnationState incarnation = incarnations.get(proxy);
        incarnation.end = end;
        incarnation.endedUs = proxy.clockUs();
        unanswered += incarnation.openRequests;
    }

    private List<RequestCounters> requestCounters(EmulatedProxy proxy, ServiceClass serviceClass) {
        return List.of(
                total,
                seconds.computeIfAbsent(proxy.clockUs() / SECOND_US, second -> new RequestCounters()),
                classes.computeIfAbsent(serviceClass.name(), name -> new RequestCounters()),
                zones.computeIfAbsent(proxy.zone(), zone -> new RequestCounters()));
    }

    void requested(EmulatedProxy proxy, ServiceClass serviceClass) {
        incarnations.get(proxy).openRequests++;
        requestCounters(proxy, serviceClass).forEach(counters -> counters.requested(serviceClass));
    }

    /** Records that a client received the final response, with {@code bytes} bytes of the object. */
    void responded(
            EmulatedProxy proxy, ServiceClass serviceClass, long bytes, ClientResponse.Kind kind, long latencyUs) {
        incarnations.get(proxy).openRequests--;
        boolean successful = kind == ClientResponse.Kind.SERVED || kind == ClientResponse.Kind.NOT_MODIFIED;
        double transferUs = bytes / (TrafficClasses.FLOW_KB_PER_SECOND * TrafficClasses.KIB) * 1e6;
        double objectiveUs = serviceClass.latencyObjectiveUs() + serviceClass.objectiveSizeFactor() * transferUs;
        boolean inTime = successful && latencyUs <= Math.min(serviceClass.deadlineUs(), objectiveUs);
        double weightEarned =
                successful ? serviceClass.priorityWeight() * (inTime ? 1 : serviceClass.lateWeightFactor()) : 0;
        requestCounters(proxy, serviceClass).forEach(counters -> counters.responded(kind, inTime, weightEarned));
    }

    private AttemptCounters attemptCounters(String server) {
        return servers.computeIfAbsent(server, id -> new AttemptCounters());
    }

    void attemptSent(EmulatedProxy proxy, Attempt attempt) {
        attemptCounters(attempt.server()).sent();
        lateSends += notifications.isDrainGraceOver(proxy, attempt.server()) ? 1 : 0;
        String fillSource = attempt.request().fillSource();
        lateSends += fillSource != null && notifications.isDrainGraceOver(proxy, fillSource) ? 1 : 0;
    }

    void attemptAborted(String server) {
        attemptCounters(server).aborted();
    }

    void attemptEnded(EmulatedProxy proxy, Attempt attempt, UpstreamResponse response, long latencyUs) {
        boolean successful = response.status() == AttemptStatus.OK;
        if (successful && response.originSentMs() > 0) {
            long object = Long.parseUnsignedLong(attempt.request().object(), 16);
            long sentUs = proxy.clockUs() - latencyUs;
            boolean stale = notifications.violatesPurgeGrace(
                    proxy, object, catalogue.group(object), response.originSentMs(), sentUs);
            stalePurgedCopies += stale ? 1 : 0;
        }
        attemptCounters(attempt.server()).ended(response.status(), latencyUs);
        if (reachedOrigin(attempt, response)) {
            OriginCounters counters =
                    origin.computeIfAbsent(proxy.clockUs() / SECOND_US, second -> new OriginCounters());
            counters.calls++;
            counters.failed += successful ? 0 : 1;
        }
    }

    private static boolean reachedOrigin(Attempt attempt, UpstreamResponse response) {
        return response.cacheStatus() == CacheStatus.FILLED_FROM_ORIGIN
                || response.cacheStatus() == CacheStatus.ORIGIN_FAILED
                || attempt.server().equals(ServerNames.ORIGIN);
    }

    void eventDelivered(EmulatedProxy proxy, DiscoveryEvent event) {
        notifications.eventDelivered(proxy, event);
    }

    /** Records that the origin executed a write; executions are counted by request to detect repeated ones. */
    void writeExecuted(String requestId) {
        executionsByWrite.merge(requestId, 1, Integer::sum);
    }

    void faultInjected(Fault fault) {
        // A purge is instantaneous: the duration given in a scenario doesn't apply to it.
        long endUs = fault.kind() == FaultKind.PURGE ? fault.startUnixUs() : fault.endUnixUs();
        faults.add(new GroundTruth.FaultPeriod(fault.kind().label(), fault.servers(), fault.startUnixUs(), endUs));
    }

    /** Records outside load as a fault. Called only if the origin stops under it; otherwise it is no fault. */
    void outsideLoadStoppedOrigin(long fromUs, long toUs) {
        faults.add(
                new GroundTruth.FaultPeriod(FaultKind.OUTSIDE_LOAD.label(), List.of(ServerNames.ORIGIN), fromUs, toUs));
    }

    void originStopped(long fromUs, long toUs) {
        faults.add(new GroundTruth.FaultPeriod(
                GroundTruth.FaultPeriod.ORIGIN_STOPPED, List.of(ServerNames.ORIGIN), fromUs, toUs));
    }

    /** Returns the ground truth collected so far. */
    GroundTruth toGroundTruth(String scenario, long seed) {
        return new GroundTruth(
                total.totals(),
                totals(seconds, RequestCounters::totals),
                totals(classes, RequestCounters::totals),
                totals(zones, RequestCounters::totals),
                totals(servers, AttemptCounters::totals),
                totals(origin, OriginCounters::totals),
                notifications.purges(),
                notifications.drains(),
                incarnations.values().stream().map(IncarnationState::totals).toList(),
                unanswered,
                lateSends,
                stalePurgedCopies,
                List.copyOf(faults),
                executionsByWrite.values().stream()
                        .filter(executions -> executions > 1)
                        .count(),
                scenario,
                seed);
    }

    private static <K, C, T> Map<K, T> totals(Map<K, C> counters, Function<C, T> toTotals) {
        Map<K, T> totals = new LinkedHashMap<>();
        counters.forEach((key, counter) -> totals.put(key, toTotals.apply(counter)));
        return totals;
    }
}

package petrelplank.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.EndpointState;
import petrelplank.routing.Router;

/** Applies the events of the discovery service to the router and to the upstream connections. Event thread only. */
final class DiscoveryEventHandler {
    private static final int US_PER_MS = 1000;

    private final EventLoop loop;
    private final Router router;
    private final UpstreamClient upstream;
    private final EventRecorder recorder;
    /** The entries that were passed to {@link UpstreamClient#endpointListed} last and not removed since, by id. */
    private final Map<String, DiscoveryEvent.EndpointEntry> listed = new HashMap<>();

    private long lastIndex;

    DiscoveryEventHandler(EventLoop loop, Router router, UpstreamClient upstream, EventRecorder recorder) {
        this.loop = loop;
        this.router = router;
        this.upstream = upstream;
        this.recorder = recorder;
    }

    /** Applies an event; ignores it if its number is not above that of the last event. */
    void apply(DiscoveryEvent event) {
        if (event.index() <= lastIndex) {
            return;
        }
        lastIndex = event.index();
        recorder.discoveryEvent(event);
        if (event instanceof DiscoveryEvent.Purge purge) {
            applyPurge(purge);
        } else if (event instanceof DiscoveryEvent.EndpointChange change) {
            applyChange(change);
        }
    }

    /** The number of the last event that was applied; 0 before the first. */
    long lastIndex() {
        return lastIndex;
    }

    private void applyPurge(DiscoveryEvent.Purge purge) {
        long nowUs = loop.nowUs();
        long ageUs = Math.max(0, nowUs - purge.unixMs() * US_PER_MS);
        if (purge.object() != null) {
            router.objectPurged(nowUs, purge.object(), ageUs);
        } else {
            router.groupPurged(nowUs, purge.group(), ageUs);
        }
        // Their commands accept copies that are older than the purge. Requests that are not idempotent read none.
        upstream.withdrawUnwritten(attempt -> !attempt.request().dedicatedConnection() && isPurged(attempt, purge));
    }

    private static boolean isPurged(Attempt attempt, DiscoveryEvent.Purge purge) {
        return purge.object() == null ? attempt.group() == purge.group() : attempt.exchange.objectId == purge.object();
    }

    private void applyChange(DiscoveryEvent.EndpointChange change) {
        List<EndpointInfo> endpoints = change.entries().stream()
                .map(DiscoveryEvent.EndpointEntry::endpoint)
                .toList();
        router.endpointsChanged(loop.nowUs(), change.complete(), endpoints);
        Set<String> outdated = removedIds(change);
        outdated.forEach(this::remove);
        for (DiscoveryEvent.EndpointEntry entry : change.entries()) {
            if (entry.endpoint().state() != EndpointState.REMOVED && isOutdatedBy(entry)) {
                outdated.add(entry.endpoint().id());
            }
        }
        change.entries().forEach(this::list);
        // Last, since attempts that are planned anew may go to any endpoint of the change.
        if (!outdated.isEmpty()) {
            upstream.withdrawUnwritten(attempt -> outdated.contains(attempt.server())
                    || outdated.contains(attempt.request().fillSource()));
        }
    }

    private void remove(String id) {
        upstream.endpointRemoved(id);
        listed.remove(id);
    }

    /**
     * Whether attempts that were planned before have to be planned anew: their endpoint drains, has restarted, so that
     * it is cold, or has moved to another address.
     */
    private boolean isOutdatedBy(DiscoveryEvent.EndpointEntry entry) {
        DiscoveryEvent.EndpointEntry before = listed.get(entry.endpoint().id());
        return entry.endpoint().state() == EndpointState.DRAINING
                || before != null
                        && (entry.endpoint().startedUs() > before.endpoint().startedUs()
                                || !entry.address().equals(before.address()));
    }

    private void list(DiscoveryEvent.EndpointEntry entry) {
        EndpointInfo endpoint = entry.endpoint();
        if (endpoint.state() != EndpointState.REMOVED) {
            listed.put(endpoint.id(), entry);
            upstream.endpointListed(endpoint.id(), entry.address(), endpoint.startedUs());
        }
    }

    /** Ids of the endpoints that a change removes, either by their state or by their absence from a complete list. */
    private Set<String> removedIds(DiscoveryEvent.EndpointChange change) {
        Set<String> removed = change.complete() ? new HashSet<>(listed.keySet()) : new HashSet<>();
        for (DiscoveryEvent.EndpointEntry entry : change.entries()) {
            EndpointInfo endpoint = entry.endpoint();
            if (endpoint.state() == EndpointState.REMOVED) {
                removed.add(endpoint.id());
            } else {
                removed.remove(endpoint.id());
            }
        }
        return removed;
    }
}

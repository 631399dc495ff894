package petrelplank.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.routing.EndpointState;

/**
 * Records when each proxy was notified of purges and drains, measured by its own clock, and detects sends and copies
 * that violate the grace times that start with these notifications.
 */
final class NotificationLog {
    private static final class ProxyLog {
        private final Map<String, Long> drainNotifiedUs = new HashMap<>();
        private final Map<DiscoveryEvent.Purge, Long> purgeNotifiedUs = new LinkedHashMap<>();
    }

    private final Map<EmulatedProxy, ProxyLog> proxies = new HashMap<>();
    private final Map<Long, List<Long>> purgeTimesUs = new TreeMap<>();
    private final Map<String, List<Long>> drainTimesUs = new TreeMap<>();

    void proxyStarted(EmulatedProxy proxy) {
        proxies.put(proxy, new ProxyLog());
    }

    void eventDelivered(EmulatedProxy proxy, DiscoveryEvent event) {
        if (event instanceof DiscoveryEvent.Purge purge) {
            proxies.get(proxy).purgeNotifiedUs.put(purge, proxy.clockUs());
            purgeTimesUs
                    .computeIfAbsent(purge.index(), index -> new ArrayList<>())
                    .add(proxy.clockUs());
        } else if (event instanceof DiscoveryEvent.EndpointChange change) {
            for (DiscoveryEvent.EndpointEntry entry : change.entries()) {
                endpointListed(proxy, entry.endpoint().id(), entry.endpoint().state());
            }
        }
    }

    private void endpointListed(EmulatedProxy proxy, String server, EndpointState state) {
        Map<String, Long> drainNotifiedUs = proxies.get(proxy).drainNotifiedUs;
        if (state == EndpointState.UP) {
            drainNotifiedUs.remove(server);
        } else if (drainNotifiedUs.putIfAbsent(server, proxy.clockUs()) == null) {
            drainTimesUs.computeIfAbsent(server, id -> new ArrayList<>()).add(proxy.clockUs());
        }
    }

    /** Returns whether the drain grace time has passed since the proxy learned that the server is draining or gone. */
    boolean isDrainGraceOver(EmulatedProxy proxy, String server) {
        Long notifiedUs = proxies.get(proxy).drainNotifiedUs.get(server);
        return notifiedUs != null && proxy.clockUs() - notifiedUs > ProxySettings.DRAIN_GRACE_US;
    }

    /**
     * Returns whether a copy is older than a purge of it that the proxy had been notified of for longer than the
     * purge grace time when it sent the attempt.
     */
    boolean violatesPurgeGrace(EmulatedProxy proxy, long object, int group, long createdMs, long sentUs) {
        for (Map.Entry<DiscoveryEvent.Purge, Long> entry :
                proxies.get(proxy).purgeNotifiedUs.entrySet()) {
            DiscoveryEvent.Purge purge = entry.getKey();
            if (new PurgeTarget(purge.object(), purge.group()).matches(object, group)
                    && createdMs < purge.unixMs()
                    && sentUs > entry.getValue() + ProxySettings.PURGE_GRACE_US) {
                return true;
            }
        }
        return false;
    }

    Map<Long, GroundTruth.Notifications> purges() {
        return totals(purgeTimesUs);
    }

    Map<String, GroundTruth.Notifications> drains() {
        return totals(drainTimesUs);
    }

    private static <K> Map<K, GroundTruth.Notifications> totals(Map<K, List<Long>> timesUsByKey) {
        Map<K, GroundTruth.Notifications> totals = new LinkedHashMap<>();
        timesUsByKey.forEach((key, timesUs) -> totals.put(
                key,
                new GroundTruth.Notifications(
                        timesUs.size(),
                        timesUs.stream().mapToLong(Long::longValue).min().orElse(0),
                        timesUs.stream().mapToLong(Long::longValue).max().orElse(0))));
        return totals;
    }
}

package petrelplank.analysis;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import petrelplank.record.Event;
import petrelplank.record.ListedEndpoint;
import petrelplank.routing.EndpointState;

/** What one incarnation was notified of by the discovery service about endpoints. */
final class EndpointNotifications {
    /** A state of an endpoint, as notified. */
    record StateChange(long index, long atUs, EndpointState state) {}

    private final Map<String, List<StateChange>> changes = new TreeMap<>();
    private final Map<String, ListedEndpoint> latest = new TreeMap<>();
    private final Map<String, Long> latestIndex = new HashMap<>();

    void add(Event.EndpointsChanged event, long atUs) {
        for (ListedEndpoint endpoint : event.servers()) {
            String id = endpoint.id();
            changes.computeIfAbsent(id, key -> new ArrayList<>())
                    .add(new StateChange(event.index(), atUs, endpoint.state()));
            if (latestIndex.getOrDefault(id, -1L) < event.index()) {
                latestIndex.put(id, event.index());
                latest.put(id, endpoint);
            }
        }
    }

    /** The endpoints, as last listed. */
    Map<String, ListedEndpoint> latest() {
        return latest;
    }

    Set<String> ids() {
        return changes.keySet();
    }

    /** The states of an endpoint in the order of the notifications' indexes. */
    List<StateChange> of(String id) {
        return changes.getOrDefault(id, List.of()).stream()
                .sorted(Comparator.comparingLong(StateChange::index))
                .toList();
    }

    /** When an endpoint was first notified to be draining or removed; -1 where it never was. */
    long firstDrainUs(String id) {
        return of(id).stream()
                .filter(change -> change.state() != EndpointState.UP)
                .mapToLong(StateChange::atUs)
                .findFirst()
                .orElse(-1);
    }

    /** The last state notified by a time; null where there was none. */
    EndpointState stateAt(String id, long unixUs) {
        EndpointState state = null;
        for (StateChange change : of(id)) {
            state = change.atUs() <= unixUs ? change.state() : state;
        }
        return state;
    }
}

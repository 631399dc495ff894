package petrelplank.analysis;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.record.Event;

/** Request classes, endpoints and their kinds, as all incarnations together knew them. */
final class FleetTopology {
    private final Map<String, Event.ClassInfo> classes = new TreeMap<>();
    private final Map<String, Event.ListedEndpoint> endpoints = new TreeMap<>();
    private String originKind;
    private String parentKind;

    FleetTopology(List<Incarnation> incarnations) {
        for (Incarnation incarnation : incarnations) {
            if (incarnation.started() != null) {
                addStart(incarnation.started());
            }
            endpoints.putAll(incarnation.endpointNotifications().latest());
        }
    }

    private void addStart(Event.ProxyStarted started) {
        started.classes().forEach(info -> classes.put(info.name(), info));
        originKind = started.originKind() == null ? originKind : started.originKind();
        parentKind = started.parentKind() == null ? parentKind : started.parentKind();
    }

    /** The priority weight of a class's requests; 0 where the class is not known. */
    double weight(String type) {
        Event.ClassInfo info = classes.get(type);
        return info == null ? 0 : info.worth();
    }

    /** The endpoints by id, as last listed. */
    Map<String, Event.ListedEndpoint> endpoints() {
        return endpoints;
    }

    boolean isOrigin(String id) {
        return isKind(id, originKind);
    }

    boolean isParent(String id) {
        return isKind(id, parentKind);
    }

    private boolean isKind(String id, String kind) {
        Event.ListedEndpoint endpoint = endpoints.get(id);
        return endpoint != null && endpoint.kind().equals(kind);
    }
}

package petrelplank.analysis;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.record.Event;
import petrelplank.record.ListedEndpoint;
import petrelplank.record.ServiceClassInfo;

/** Request classes, endpoints and their kinds, as all incarnations together knew them. */
final class FleetTopology {
    private final Map<String, ServiceClassInfo> classes = new TreeMap<>();
    private final Map<String, ListedEndpoint> endpoints = new TreeMap<>();
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
        ServiceClassInfo info = classes.get(type);
        return info == null ? 0 : info.priorityWeight();
    }

    /** The endpoints by id, as last listed. */
    Map<String, ListedEndpoint> endpoints() {
        return endpoints;
    }

    boolean isOrigin(String id) {
        return isKind(id, originKind);
    }

    boolean isParent(String id) {
        return isKind(id, parentKind);
    }

    private boolean isKind(String id, String kind) {
        ListedEndpoint endpoint = endpoints.get(id);
        return endpoint != null && endpoint.kind().equals(kind);
    }
}

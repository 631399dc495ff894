package petrelplank.analysis;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import petrelplank.record.Event;
import petrelplank.record.StoredNames;

/** The requests of one incarnation: sums, and whether each was answered once. */
final class RequestLog {
    /** By second and class. */
    private final Map<Long, Map<String, RequestTotals>> totals = new TreeMap<>();
    /** By request, how often it was admitted less how often it was completed; balanced ones are not kept. */
    private final Map<Long, Integer> responseBalance = new HashMap<>();

    private final Map<String, Long> terminationReasons = new TreeMap<>();
    private final Map<String, Long> rejectedBeforeRouting = new TreeMap<>();

    void admitted(long unixUs, Event.RequestAdmitted event) {
        totalsAt(unixUs, event.serviceClass()).addRequest();
        changeBalance(event.request(), 1);
    }

    void completed(long unixUs, Event.RequestCompleted event) {
        totalsAt(unixUs, event.serviceClass()).addResponse(event);
        changeBalance(event.request(), -1);
        if (event.reason() != null) {
            terminationReasons.merge(StoredNames.of(event.reason()), 1L, Long::sum);
        }
    }

    void clientDisconnected(Event.ClientDisconnected event) {
        changeBalance(event.request(), -1);
    }

    void rejected(Event.RequestRejected event) {
        rejectedBeforeRouting.merge(StoredNames.of(event.kind()), 1L, Long::sum);
    }

    private RequestTotals totalsAt(long unixUs, String type) {
        return totals.computeIfAbsent(UnixTime.second(unixUs), second -> new HashMap<>())
                .computeIfAbsent(type, name -> new RequestTotals());
    }

    private void changeBalance(long request, int change) {
        int balance = responseBalance.merge(request, change, Integer::sum);
        if (balance == 0) {
            responseBalance.remove(request);
        }
    }

    Map<Long, Map<String, RequestTotals>> totals() {
        return totals;
    }

    Map<Long, Integer> responseBalance() {
        return responseBalance;
    }

    /** Requests that the router rejected or failed, by the stored name of its reason. */
    Map<String, Long> terminationReasons() {
        return terminationReasons;
    }

    /** Requests rejected before the router saw them, by the stored name of the response. */
    Map<String, Long> rejectedBeforeRouting() {
        return rejectedBeforeRouting;
    }
}

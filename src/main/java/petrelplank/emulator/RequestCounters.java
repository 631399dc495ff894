package petrelplank.emulator;

import java.util.EnumMap;
import java.util.Map;
import petrelplank.proxy.ClientResponse;
import petrelplank.routing.ServiceClass;

/** Counts client requests and their responses for {@link GroundTruth.Requests}. */
final class RequestCounters {
    private long requests;
    private final Map<ClientResponse.Kind, Long> responsesByKind = new EnumMap<>(ClientResponse.Kind.class);
    private long inTime;
    private double requestedWeight;
    private double earnedWeight;

    /** Counts a request. */
    void requested(ServiceClass serviceClass) {
        requests++;
        requestedWeight += serviceClass.priorityWeight();
    }

    /**
     * Counts a response.
     *
     * @param kind outcome of the request
     * @param isInTime whether the response met its latency objective and deadline
     * @param responseWeight priority weight credited for the response
     */
    void responded(ClientResponse.Kind kind, boolean isInTime, double responseWeight) {
        responsesByKind.merge(kind, 1L, Long::sum);
        inTime += isInTime ? 1 : 0;
        earnedWeight += responseWeight;
    }

    private long count(ClientResponse.Kind kind) {
        return responsesByKind.getOrDefault(kind, 0L);
    }

    /** Returns the counts so far. */
    GroundTruth.Requests totals() {
        return new GroundTruth.Requests(
                requests,
                count(ClientResponse.Kind.SERVED),
                count(ClientResponse.Kind.NOT_MODIFIED),
                count(ClientResponse.Kind.REJECTED),
                count(ClientResponse.Kind.FAILED),
                inTime,
                requestedWeight,
                earnedWeight);
    }
}

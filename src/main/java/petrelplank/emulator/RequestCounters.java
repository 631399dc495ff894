package petrelplank.emulator;

import java.util.EnumMap;
import java.util.Map;
import petrelplank.proxy.ClientResponse;
import petrelplank.routing.ServiceClass;

/** Counts requests and their responses for {@link GroundTruth.Requests}. */
final class RequestCounters {
    private long asked;
    private final Map<ClientResponse.Kind, Long> responses = new EnumMap<>(ClientResponse.Kind.class);
    private long inTime;
    private double weightAsked;
    private double weightEarned;

    void requested(ServiceClass serviceClass) {
        asked++;
        weightAsked += serviceClass.priorityWeight();
    }

    /**
     * Counts a response.
     *
     * @param earned the priority weight that it earns
     */
    void responded(ClientResponse.Kind kind, boolean isInTime, double earned) {
        responses.merge(kind, 1L, Long::sum);
        inTime += isInTime ? 1 : 0;
        weightEarned += earned;
    }

    private long count(ClientResponse.Kind kind) {
        return responses.getOrDefault(kind, 0L);
    }

    GroundTruth.Requests totals() {
        return new GroundTruth.Requests(
                asked,
                count(ClientResponse.Kind.SERVED),
                count(ClientResponse.Kind.NOT_MODIFIED),
                count(ClientResponse.Kind.REJECTED),
                count(ClientResponse.Kind.FAILED),
                inTime,
                weightAsked,
                weightEarned);
    }
}

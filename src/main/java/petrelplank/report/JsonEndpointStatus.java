package petrelplank.report;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import petrelplank.analysis.Finding;
import petrelplank.analysis.FleetSnapshot;
import petrelplank.routing.EndpointState;

/**
 * An endpoint at a time as JSON. A state that no proxy had been notified of has no key.
 *
 * @param zone where it stands
 * @param up proxies that had last been notified that it is up
 * @param draining proxies that had last been notified that it drains
 * @param removed proxies that had last been notified that it is gone
 * @param ejectedBy proxies that had ejected it
 * @param startedUs its late start, where it had one before then; else 0
 * @param faults labels of the findings that it was in
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record JsonEndpointStatus(
        String zone,
        Integer up,
        Integer draining,
        @JsonProperty("gone") Integer removed,
        @JsonProperty("outAt") List<String> ejectedBy,
        long startedUs,
        @JsonProperty("troubles") List<String> faults) {
    static JsonEndpointStatus of(FleetSnapshot.EndpointStatus status) {
        return new JsonEndpointStatus(
                status.zone(),
                status.proxiesByState().get(EndpointState.UP),
                status.proxiesByState().get(EndpointState.DRAINING),
                status.proxiesByState().get(EndpointState.REMOVED),
                status.ejectedBy(),
                status.startedUs(),
                status.faults().stream().map(Finding.Kind::label).toList());
    }
}

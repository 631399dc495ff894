package petrelplank.routing;

/**
 * An entry of the endpoint list from the discovery service.
 *
 * @param id the endpoint's id
 * @param zone the zone that it runs in
 * @param kind the kind of server, which determines its role; see {@link RouterSettings#parentKind}
 * @param cell the cell that it belongs to
 * @param state its state
 * @param weight its weight; see {@link WeightMeaning}
 * @param startedUs when it last started; 0 for a start long ago
 */
public record EndpointInfo(
        String id, String zone, String kind, int cell, EndpointState state, double weight, long startedUs) {}

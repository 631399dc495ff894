package petrelplank.routing;

/**
 * An entry of the endpoint list.
 *
 * @param id its id
 * @param zone its zone
 * @param kind its kind
 * @param cell its cell
 * @param state its state
 * @param weight its weight; see {@link WeightMeaning}
 * @param startedUs when it last started; 0 for a start long ago
 */
public record EndpointInfo(
        String id, String zone, String kind, int cell, EndpointState state, double weight, long startedUs) {}

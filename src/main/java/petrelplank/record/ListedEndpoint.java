package petrelplank.record;

import petrelplank.routing.EndpointState;

/**
 * An entry of the endpoint list.
 *
 * @param id its id
 * @param zone the zone it runs in
 * @param kind its kind
 * @param state its state
 * @param weight capacity of its uplink, in transfers at full rate
 * @param startedUs when it started with an empty cache; 0 for long ago
 */
@StoredName("Server")
public record ListedEndpoint(
        @StoredName("id") String id,
        @StoredName("zone") String zone,
        @StoredName("kind") String kind,
        @StoredName("state") EndpointState state,
        @StoredName("weight") double weight,
        @StoredName("startedUs") long startedUs) {}

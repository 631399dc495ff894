package petrelplank.record;

import petrelplank.routing.EndpointState;

/**
 * An endpoint as the discovery service lists it.
 *
 * @param id id of the endpoint
 * @param zone the zone it runs in
 * @param kind kind of the endpoint, as configured in the settings
 * @param state state of the endpoint
 * @param weight capacity of its uplink, as the number of concurrent transfers at full rate
 * @param startedUs when it started with an empty cache, in Unix microseconds; 0 for long ago
 */
@StoredName("Server")
public record ListedEndpoint(
        @StoredName("id") String id,
        @StoredName("zone") String zone,
        @StoredName("kind") String kind,
        @StoredName("state") EndpointState state,
        @StoredName("weight") double weight,
        @StoredName("startedUs") long startedUs) {}

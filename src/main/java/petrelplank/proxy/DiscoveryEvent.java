package petrelplank.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import petrelplank.routing.EndpointInfo;

/** An event from the discovery service. Events are numbered in the order in which they were issued. */
public sealed interface DiscoveryEvent {
    /**
     * The event's number.
     *
     * @return the number, from 1
     */
    long index();

    /**
     * An entry of the endpoint list.
     *
     * @param endpoint the endpoint, as passed to the router
     * @param address the address that it listens on
     */
    record EndpointEntry(EndpointInfo endpoint, InetSocketAddress address) {}

    /**
     * The endpoint list changed.
     *
     * @param index the event's number
     * @param complete whether the entries are the complete list, and not only the endpoints that changed
     * @param entries the entries
     */
    record EndpointChange(long index, boolean complete, List<EndpointEntry> entries) implements DiscoveryEvent {}

    /**
     * An object or a group of objects was purged.
     *
     * @param index the event's number
     * @param object the id of the object; null if a whole group was purged
     * @param group the group; ignored if an object is named
     * @param unixMs when the purge was issued, Unix time in milliseconds
     */
    record Purge(long index, Long object, int group, long unixMs) implements DiscoveryEvent {}

    /**
     * A heartbeat, sent when there is no new event.
     *
     * @param index the number of the latest event
     */
    record Heartbeat(long index) implements DiscoveryEvent {}

    /**
     * An event of a kind that this version of the proxy does not know.
     *
     * @param index the event's number
     */
    record Unknown(long index) implements DiscoveryEvent {}
}

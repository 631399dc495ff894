package petrelplank.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import petrelplank.routing.EndpointInfo;

/** A numbered event of the discovery service. */
public sealed interface DiscoveryEvent {
    /**
     * The event's number.
     *
     * @return from 1
     */
    long index();

    /**
     * An entry of the endpoint list.
     *
     * @param endpoint the endpoint as the router sees it
     * @param address where it listens
     */
    record Entry(EndpointInfo endpoint, InetSocketAddress address) {}

    /**
     * The endpoint list changed.
     *
     * @param index the event's number
     * @param complete the entries are the complete list
     * @param entries the entries
     */
    record Change(long index, boolean complete, List<Entry> entries) implements DiscoveryEvent {}

    /**
     * An object, or a group of them, was purged.
     *
     * @param index the event's number
     * @param object the object; null for the whole group
     * @param group the group, where no object is named
     * @param unixMs when
     */
    record Purge(long index, Long object, int group, long unixMs) implements DiscoveryEvent {}

    /**
     * A heartbeat: nothing new happened.
     *
     * @param index the number of the last event there is
     */
    record Heartbeat(long index) implements DiscoveryEvent {}

    /**
     * An event of a kind that is not known here.
     *
     * @param index the event's number
     */
    record Unknown(long index) implements DiscoveryEvent {}
}

package petrelplank.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import petrelplank.routing.EndpointInfo;

/** A numbered event of the coordinator. */
public sealed interface DiscoveryEvent {
    /**
     * The event's number.
     *
     * @return from 1
     */
    long index();

    /**
     * A listed server.
     *
     * @param member what the router is told
     * @param address where it listens
     */
    record Entry(EndpointInfo member, InetSocketAddress address) {}

    /**
     * The list of servers changed.
     *
     * @param index the event's number
     * @param complete the entries are the whole list
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
     * Nothing new: the number of the last event there is.
     *
     * @param index that number
     */
    record Beat(long index) implements DiscoveryEvent {}

    /**
     * An event of a kind not known here.
     *
     * @param index the event's number
     */
    record Other(long index) implements DiscoveryEvent {}
}

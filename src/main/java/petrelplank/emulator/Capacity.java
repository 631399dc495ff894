package petrelplank.emulator;

/**
 * The capacity of the servers and links of a fleet.
 *
 * @param cacheBytes total size of the copies that a cache can hold
 * @param parentBytes total size of the copies that a parent cache can hold
 * @param cacheWeight capacity of a cache's outgoing link, in concurrent transfers at the speed of one client
 * @param parentWeight capacity of a parent cache's outgoing link, in concurrent transfers at the speed of one client
 * @param zoneLinkWeight capacity of an edge zone's incoming link, in concurrent transfers at the speed of one client
 * @param originPerSecond calls per second that the origin can complete
 * @param originCallUs average service time of a call at the origin while it is not busy
 */
public record Capacity(
        long cacheBytes,
        long parentBytes,
        double cacheWeight,
        double parentWeight,
        double zoneLinkWeight,
        double originPerSecond,
        long originCallUs) {}

package petrelplank.emulator;

/**
 * What the servers and links of a fleet can do.
 *
 * @param cacheBytes what a cache holds
 * @param parentBytes what a parent cache holds
 * @param cacheWeight a cache's outgoing link, in transfers at full speed
 * @param parentWeight a parent cache's outgoing link, in transfers at full speed
 * @param zoneLinkWeight an edge zone's incoming link, in transfers at the speed of one client
 * @param originPerSecond calls that the origin can do in a second
 * @param originCallUs the origin's usual time for a call
 */
public record Capacity(
        long cacheBytes,
        long parentBytes,
        double cacheWeight,
        double parentWeight,
        double zoneLinkWeight,
        double originPerSecond,
        long originCallUs) {}

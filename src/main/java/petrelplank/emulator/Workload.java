package petrelplank.emulator;

/**
 * The regular load from clients and publishers, without faults.
 *
 * @param requestsPerSecond client requests per second, summed over all zones
 * @param objects number of distinct objects that clients read
 * @param groups number of purge groups to which the objects belong
 * @param skew exponent of the Zipf distribution of the objects' popularity
 * @param purgesPerSecond single objects purged per second
 */
public record Workload(double requestsPerSecond, int objects, int groups, double skew, double purgesPerSecond) {}

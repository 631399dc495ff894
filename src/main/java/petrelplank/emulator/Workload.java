package petrelplank.emulator;

/**
 * What clients and publishers do in the ordinary course.
 *
 * @param requestsPerSecond requests of all zones together
 * @param objects how many objects there are
 * @param groups groups that the objects fall into
 * @param skew exponent of the Zipf law of popularity
 * @param purgesPerSecond single objects that are purged
 */
public record Workload(double requestsPerSecond, int objects, int groups, double skew, double purgesPerSecond) {}

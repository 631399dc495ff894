package petrelplank.emulator;

/**
 * Identifies one incarnation of an emulated proxy.
 *
 * @param name the proxy's name, which stays the same after a restart
 * @param zone the proxy's zone
 * @param incarnation the random number of this incarnation, which also seeds the proxy's random decisions
 * @param clockOffsetUs how far the proxy's clock is ahead of simulated time; negative if it is behind
 */
record ProxyIdentity(String name, String zone, long incarnation, long clockOffsetUs) {}

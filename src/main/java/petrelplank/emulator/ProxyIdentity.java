package petrelplank.emulator;

/**
 * Who a run of an emulated proxy is.
 *
 * @param name the proxy's name, the same after a restart
 * @param zone its zone
 * @param incarnation a random number of this run; it seeds the proxy's decisions too
 * @param clockOffsetUs how far the proxy's clock is ahead of simulated time
 */
record ProxyIdentity(String name, String zone, long incarnation, long clockOffsetUs) {}

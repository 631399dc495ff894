/**
 * Service discovery: one connection to the discovery service, which streams numbered events (endpoint lists, purges)
 * and a heartbeat each second. {@link petrelplank.discovery.DiscoveryClient} keeps the connection and hands the events
 * to the proxy, {@link petrelplank.discovery.DiscoveryEventDecoder} reads them.
 */
package petrelplank.discovery;

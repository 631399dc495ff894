/**
 * Service discovery: one connection to the discovery service, which streams numbered events (endpoint lists, purges)
 * and a heartbeat each second. {@link petrelplank.discovery.DiscoveryClient} maintains the connection and passes the
 * events to the proxy; {@link petrelplank.discovery.DiscoveryEventDecoder} decodes them.
 */
package petrelplank.discovery;

/**
 * Decides when to reconnect to the discovery service, without I/O, threads or a clock of its own, so that tests need
 * only method calls.
 */
package petrelplank.discovery.backoff;

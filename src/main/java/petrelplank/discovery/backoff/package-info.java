/**
 * When to reconnect to the discovery service: pure decisions without I/O, threads or a clock, so that they can be
 * tested by calls alone.
 */
package petrelplank.discovery.backoff;

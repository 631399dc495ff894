/**
 * The client side towards caches, parents and the origin: connections, commands and responses.
 *
 * <p>{@link petrelplank.upstream.UpstreamConnectionPool} is the entry point. For each attempt, the
 * {@code ConnectionSelector} selects an {@code UpstreamConnection} or opens a new one, and the {@code CommandEncoder}
 * encodes the command. The {@code UpstreamIoHandler} parses the response on the I/O thread and posts it to the event
 * thread, which all state of this package is confined to. When a connection is lost, or closed because it stalled, its
 * attempts end or are resent.
 */
package petrelplank.upstream;

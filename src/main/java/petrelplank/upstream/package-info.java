/**
 * The client side towards caches, parents and the origin: connections, commands and responses.
 *
 * <p>{@link petrelplank.upstream.UpstreamConnectionPool} is the entry point. For an attempt, the
 * {@code ConnectionSelector} chooses or makes an {@code UpstreamConnection}, the {@code CommandEncoder} writes the
 * command, the I/O thread's {@code UpstreamIoHandler} parses the response and posts it to the event thread, which owns
 * all state here. Aborts, lost and stalled connections end or resend attempts.
 */
package petrelplank.upstream;

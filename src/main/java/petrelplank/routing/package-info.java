/**
 * Request routing of one gateway: which cache answers a request, where a miss is filled from, what is retried, hedged
 * or rejected.
 *
 * <p>{@link petrelplank.routing.Router} is the interface, {@link petrelplank.routing.RequestRouter} the way of one
 * request; each concern has a class and keeps its state there or in an object that the endpoint holds for it. The
 * package is plain event-driven code: it waits for nothing, reads no clock, does no I/O and starts no threads, and the
 * same events with the same seed give the same decisions.
 */
package petrelplank.routing;

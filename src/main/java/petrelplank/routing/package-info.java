/**
 * Request routing inside one proxy: which cache answers a request, which endpoint a miss is filled from, and which
 * requests are retried, hedged or rejected.
 *
 * <p>{@link petrelplank.routing.Router} is the interface. {@link petrelplank.routing.RequestRouter} implements it and
 * takes each request from its arrival to its final answer. Every concern has a class of its own, which keeps its state
 * in its own fields or in an object that the endpoint holds for it. The package is event-driven: it does not block,
 * reads no clock, does no I/O and starts no threads. The same events with the same seed lead to the same decisions.
 */
package petrelplank.routing;

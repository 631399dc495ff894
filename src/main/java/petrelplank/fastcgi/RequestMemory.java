package petrelplank.fastcgi;

import java.util.logging.Logger;
import petrelplank.proxy.SampledCounter;
import petrelplank.transport.MemoryBudget;

/**
 * Bounds the memory that the requests of all client connections hold, from their first record until the proxy has
 * forgotten them. It is checked each time a request grows; see {@link MemoryBudget} for those that are rejected then.
 * I/O thread only, except for {@link HeldMemory}.
 */
final class RequestMemory {
    private static final Logger LOG = Logger.getLogger(RequestMemory.class.getName());
    private static final int LOG_ONE_IN = 2_500;
    /** Bodies may fill three quarters of the limit; the rest is kept for requests without one. */
    private static final int BODY_SHARE_NUMERATOR = 3;

    private static final int BODY_SHARE_DENOMINATOR = 4;

    private final SampledCounter rejectedRequests = new SampledCounter(LOG_ONE_IN);
    private final MemoryBudget requests;
    private final MemoryBudget bodies;

    /** Creates the memory of one listener, which holds at most {@code maxBytes} and the last growth of one request. */
    RequestMemory(long maxBytes) {
        requests = new MemoryBudget(maxBytes);
        bodies = new MemoryBudget(maxBytes / BODY_SHARE_DENOMINATOR * BODY_SHARE_NUMERATOR);
    }

    /** Bytes held by all requests. Any thread. */
    long heldBytes() {
        return requests.heldBytes();
    }

    /** Called when a request begins; may reject that request, or others. */
    void begun(PartialRequest request) {
        requests.begin(request);
        bodies.begin(request.bodyHolder());
        requests.add(request.heldBytes());
        countRejected(requests.makeRoomFor(request), requests);
    }

    /** Called after a request has grown; may reject that request, or others. */
    void grown(PartialRequest request, long bytes, long bodyBytes) {
        requests.add(bytes);
        bodies.add(bodyBytes);
        if (bodyBytes > 0) {
            countRejected(bodies.makeRoomFor(request.bodyHolder()), bodies);
        }
        countRejected(requests.makeRoomFor(request), requests);
    }

    /** Called when a request is complete or given up: gives back what it has held while it was received. */
    void ended(PartialRequest request) {
        requests.end(request);
        bodies.end(request.bodyHolder());
        requests.add(-request.heldBytes());
        bodies.add(-request.bodyHolder().heldBytes());
    }

    /** Holds memory for a complete request until it is released. */
    HeldMemory hold(int bytes, int bodyBytes) {
        requests.add(bytes);
        bodies.add(bodyBytes);
        return new HeldMemory(() -> {
            requests.add(-bytes);
            bodies.add(-bodyBytes);
        });
    }

    private void countRejected(int count, MemoryBudget budget) {
        for (int i = 0; i < count; i++) {
            if (rejectedRequests.count()) {
                LOG.warning("request rejected while it was received: " + (budget == bodies ? "bodies" : "requests")
                        + " would hold more than " + budget.maxBytes() + " bytes of memory; "
                        + rejectedRequests.total() + " rejected for this reason so far");
            }
        }
    }
}
